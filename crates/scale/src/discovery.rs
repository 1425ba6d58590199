//! A stand-in of discovery on a thread of its own: the whole list to whoever watches, beats, and a new list when it is told one.

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

/// Between two beats: 2 s, as discovery's.
const HEARTBEAT_INTERVAL: i64 = 2_000_000;
/// The list is looked at so often.
const POLL_INTERVAL: i64 = 10_000;
const TIMER_HEARTBEAT: u32 = 1;
const TIMER_POLL: u32 = 2;

/// The stand-in; ends when dropped.
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
        // A request of a few lines comes in one piece; whatever else comes is of no interest.
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
    /// Listens at this address, and tells this list.
    pub fn start(address: SocketAddr, revision: u64, list: String) -> io::Result<Self> {
        let list = Arc::new(Mutex::new((revision, list)));
        let stop = Arc::new(AtomicBool::new(false));
        let (told, heard): (Sender<io::Result<SocketAddr>>, Receiver<_>) = channel();
        let (shared, stops) = (Arc::clone(&list), Arc::clone(&stop));
        let thread = std::thread::Builder::new().name("discovery".into()).spawn(move || {
            let started = begin(address);
            let (mut reactor, listener) = match started {
                Ok((reactor, listener, at)) => {
                    // Nobody waits for it any more only if the start was given up.
                    let _ = told.send(Ok(at));
                    (reactor, listener)
                }
                Err(error) => {
                    let _ = told.send(Err(error));
                    return Ok(());
                }
            };
            serve(&mut reactor, &listener, &shared, &stops)
        })?;
        let address = heard.recv().map_err(io::Error::other)??;
        Ok(Discovery { address, list, stop, thread: Some(thread) })
    }

    /// Where it listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// It tells this list from now on.
    pub fn publish(&self, revision: u64, list: String) {
        *self.list.lock().unwrap_or_else(PoisonError::into_inner) = (revision, list);
    }
}

impl Drop for Discovery {
    fn drop(&mut self) {
        self.stop.store(true, Ordering::Release);
        if let Some(thread) = self.thread.take() {
            // What failed there was told by what the members saw.
            let _ = thread.join();
        }
    }
}

type Begun = (Reactor<dyn Object>, Rc<TcpListener>, SocketAddr);

fn begin(address: SocketAddr) -> io::Result<Begun> {
    let mut reactor = Reactor::<dyn Object>::new(Clock::unix())?;
    let mut shared = None;
    reactor.insert(|key, io| {
        let (listener, socket) = Listener::bind(address, |_| Report::Acceptable, key, io)?;
        shared = Some(socket);
        Ok(Box::new(listener))
    })?;
    let listener = shared.ok_or(io::ErrorKind::NotConnected)?;
    let at = listener.local_addr()?;
    Ok((reactor, listener, at))
}

fn serve(
    reactor: &mut Reactor<dyn Object>,
    listener: &TcpListener,
    list: &Mutex<(u64, String)>,
    stop: &AtomicBool,
) -> io::Result<()> {
    let mut watchers: BTreeSet<Key> = BTreeSet::new();
    let mut told = list.lock().unwrap_or_else(PoisonError::into_inner).0;
    let now = reactor.io.now();
    reactor.io.owner_timer(now + HEARTBEAT_INTERVAL, TIMER_HEARTBEAT);
    reactor.io.owner_timer(now + POLL_INTERVAL, TIMER_POLL);
    while !stop.load(Ordering::Acquire) {
        reactor.turn()?;
        while let Some(report) = reactor.io.reports.pop_front() {
            match report {
                Report::Acceptable => loop {
                    match listener.accept() {
                        Ok((stream, _)) => {
                            reactor.insert(|key, io| {
                                let stream = LineStream::accepted(stream, io, key)?;
                                Ok(Box::new(Watcher { key, stream, requested: false, done: false }))
                            })?;
                        }
                        Err(error) if error.kind() == io::ErrorKind::WouldBlock => break,
                        Err(_) => {}
                    }
                },
                Report::WatchRequested(key) => {
                    watchers.insert(key);
                    let (_, text) = list.lock().unwrap_or_else(PoisonError::into_inner).clone();
                    let head = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n";
                    let bytes = [head.as_bytes().to_vec(), chunk(&text)].concat();
                    reactor.with(key, |watcher, _| watcher.write(&bytes));
                }
                Report::Closed(key) => {
                    watchers.remove(&key);
                }
                Report::Timer(TIMER_HEARTBEAT) => {
                    let now = reactor.io.now();
                    reactor.io.owner_timer(now + HEARTBEAT_INTERVAL, TIMER_HEARTBEAT);
                    let beat = chunk(&format!(r#"{{"revision":{told},"complete":false,"members":[]}}"#));
                    for key in &watchers {
                        reactor.with(*key, |watcher, _| watcher.write(&beat));
                    }
                }
                Report::Timer(_) => {
                    let now = reactor.io.now();
                    reactor.io.owner_timer(now + POLL_INTERVAL, TIMER_POLL);
                    let (revision, text) = {
                        let list = list.lock().unwrap_or_else(PoisonError::into_inner);
                        if list.0 == told { continue } else { list.clone() }
                    };
                    told = revision;
                    let bytes = chunk(&text);
                    for key in &watchers {
                        reactor.with(*key, |watcher, _| watcher.write(&bytes));
                    }
                }
            }
        }
    }
    Ok(())
}
