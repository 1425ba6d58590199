//! A stand-in for discovery on a thread of its own: it sends the complete list to each watch, heartbeats, and each new list.

use cottonnotch_reactor::line::{Fill, LineStream};
use cottonnotch_reactor::listener::Listener;
use cottonnotch_reactor::{Clock, Connection, Half, Key, Reactor};
use mio::net::TcpListener;
use std::collections::BTreeSet;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::mpsc::{Receiver, Sender, channel};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread::JoinHandle;

/// Interval between two heartbeats: 2 s, as discovery's.
const HEARTBEAT_INTERVAL: i64 = 2_000_000;
/// Interval at which the published list is checked for a change.
const POLL_INTERVAL: i64 = 10_000;
const TIMER_HEARTBEAT: u32 = 1;
const TIMER_POLL: u32 = 2;

/// The stand-in; its thread stops when it is dropped.
pub struct Discovery {
    address: SocketAddr,
    list: Arc<Mutex<(u64, String)>>,
    stop: Arc<AtomicBool>,
    thread: Option<JoinHandle<io::Result<()>>>,
}

enum Report {
    Timer(u32),
    Acceptable,
    WatchRequested(Key),
    Closed(Key),
}

impl cottonnotch_reactor::Report for Report {
    fn timer(timer: u32) -> Self {
        Report::Timer(timer)
    }
}

type Io = cottonnotch_reactor::Io<Report>;

trait Object: Connection<Report = Report> {
    fn write(&mut self, _bytes: &[u8]) {}
}

impl Object for Listener<Report> {}

struct Watcher {
    key: Key,
    stream: LineStream,
    requested: bool,
    done: bool,
}

impl Object for Watcher {
    fn write(&mut self, bytes: &[u8]) {
        self.stream.push(bytes);
        self.done |= self.stream.flush().is_err();
    }
}

impl Connection for Watcher {
    type Report = Report;

    fn readable(&mut self, io: &mut Io, _: Half) {
        let fill = self.stream.fill();
        let head = self.stream.take_rest();
        // A request of a few lines arrives in one piece; further bytes are ignored.
        if !self.requested && head.windows(4).any(|end| end == b"\r\n\r\n") {
            self.requested = true;
            io.report(Report::WatchRequested(self.key));
        }
        match fill {
            Fill::Blocked => {}
            Fill::More => io.call_again(self.key, Half::Near),
            Fill::Ended | Fill::Broken(_) => self.done = true,
        }
    }

    fn writable(&mut self, _: &mut Io, _: Half) {
        self.done |= self.stream.flush().is_err();
    }

    fn timer(&mut self, _: &mut Io, _: u32) {}

    fn done(&self) -> bool {
        self.done
    }

    fn closed(&mut self, io: &mut Io) {
        io.report(Report::Closed(self.key));
    }
}

fn chunk(line: &str) -> Vec<u8> {
    format!("{:x}\r\n{line}\n\r\n", line.len() + 1).into_bytes()
}

impl Discovery {
    /// Listens at this address and publishes this list. Fails if the address cannot be bound.
    pub fn start(address: SocketAddr, revision: u64, list: String) -> io::Result<Self> {
        let list = Arc::new(Mutex::new((revision, list)));
        let stop = Arc::new(AtomicBool::new(false));
        let (bound_sender, bound): (Sender<io::Result<SocketAddr>>, Receiver<_>) = channel();
        let (shared, stops) = (Arc::clone(&list), Arc::clone(&stop));
        let thread = std::thread::Builder::new().name("discovery".into()).spawn(move || {
            let mut server = match Server::bind(address, shared, stops) {
                Ok((server, bound)) => {
                    // Nobody receives it only if the start was given up.
                    let _ = bound_sender.send(Ok(bound));
                    server
                }
                Err(error) => {
                    let _ = bound_sender.send(Err(error));
                    return Ok(());
                }
            };
            server.serve()
        })?;
        let address = bound.recv().map_err(io::Error::other)??;
        Ok(Discovery { address, list, stop, thread: Some(thread) })
    }

    /// The address it listens at.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Publishes this list from now on.
    pub fn publish(&self, revision: u64, list: String) {
        *self.list.lock().unwrap_or_else(PoisonError::into_inner) = (revision, list);
    }
}

impl Drop for Discovery {
    fn drop(&mut self) {
        self.stop.store(true, Ordering::Release);
        if let Some(thread) = self.thread.take() {
            // A failure of the thread shows in what the members received.
            let _ = thread.join();
        }
    }
}

/// The thread's side: its sockets and those who watch.
struct Server {
    reactor: Reactor<dyn Object>,
    listener: Rc<TcpListener>,
    list: Arc<Mutex<(u64, String)>>,
    stop: Arc<AtomicBool>,
    watchers: BTreeSet<Key>,
    /// Revision that the watchers have received.
    published: u64,
}

impl Server {
    /// The server and the address that it is bound to.
    fn bind(
        address: SocketAddr,
        list: Arc<Mutex<(u64, String)>>,
        stop: Arc<AtomicBool>,
    ) -> io::Result<(Self, SocketAddr)> {
        let mut reactor = Reactor::<dyn Object>::new(Clock::unix())?;
        let mut shared = None;
        reactor.insert(|key, io| {
            let (listener, socket) = Listener::bind(address, |_| Report::Acceptable, key, io)?;
            shared = Some(socket);
            Ok(Box::new(listener))
        })?;
        let listener = shared.ok_or(io::ErrorKind::NotConnected)?;
        let bound = listener.local_addr()?;
        let published = list.lock().unwrap_or_else(PoisonError::into_inner).0;
        Ok((Server { reactor, listener, list, stop, watchers: BTreeSet::new(), published }, bound))
    }

    fn serve(&mut self) -> io::Result<()> {
        self.arm(HEARTBEAT_INTERVAL, TIMER_HEARTBEAT);
        self.arm(POLL_INTERVAL, TIMER_POLL);
        while !self.stop.load(Ordering::Acquire) {
            self.reactor.turn()?;
            while let Some(report) = self.reactor.io.reports.pop_front() {
                self.handle(report)?;
            }
        }
        Ok(())
    }

    fn handle(&mut self, report: Report) -> io::Result<()> {
        match report {
            Report::Acceptable => self.accept_all()?,
            Report::WatchRequested(key) => self.answer(key),
            Report::Closed(key) => {
                self.watchers.remove(&key);
            }
            Report::Timer(TIMER_HEARTBEAT) => {
                self.arm(HEARTBEAT_INTERVAL, TIMER_HEARTBEAT);
                self.send_heartbeat();
            }
            Report::Timer(_) => {
                self.arm(POLL_INTERVAL, TIMER_POLL);
                self.send_changed_list();
            }
        }
        Ok(())
    }

    fn arm(&mut self, after: i64, timer: u32) {
        let now = self.reactor.io.now();
        self.reactor.io.owner_timer(now + after, timer);
    }

    fn accept_all(&mut self) -> io::Result<()> {
        loop {
            match self.listener.accept() {
                Ok((stream, _)) => {
                    self.reactor.insert(|key, io| {
                        let stream = LineStream::accepted(stream, io, key)?;
                        Ok(Box::new(Watcher { key, stream, requested: false, done: false }))
                    })?;
                }
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => return Ok(()),
                Err(_) => {}
            }
        }
    }

    fn answer(&mut self, key: Key) {
        const HEAD: &str =
            "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n";
        self.watchers.insert(key);
        let (_, text) = self.list.lock().unwrap_or_else(PoisonError::into_inner).clone();
        let bytes = [HEAD.as_bytes().to_vec(), chunk(&text)].concat();
        self.reactor.with(key, |watcher, _| watcher.write(&bytes));
    }

    fn send_heartbeat(&mut self) {
        let revision = self.published;
        self.send_to_watchers(&chunk(&format!(r#"{{"revision":{revision},"complete":false,"members":[]}}"#)));
    }

    fn send_changed_list(&mut self) {
        let (revision, text) = {
            let list = self.list.lock().unwrap_or_else(PoisonError::into_inner);
            if list.0 == self.published {
                return;
            }
            list.clone()
        };
        self.published = revision;
        self.send_to_watchers(&chunk(&text));
    }

    fn send_to_watchers(&mut self, bytes: &[u8]) {
        for key in &self.watchers {
            self.reactor.with(*key, |watcher, _| watcher.write(bytes));
        }
    }
}
