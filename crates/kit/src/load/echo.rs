//! Render nodes that do no work: they answer `UP` to each first line at once and echo everything that follows.

use cottonnotch_reactor::line::{Fill, LineStream};
use cottonnotch_reactor::listener::Listener;
use cottonnotch_reactor::{Clock, Connection, Half, Io, Key, Micros, Reactor, Report};
use mio::net::TcpListener;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::mpsc::{Sender, channel};
use std::thread::{self, JoinHandle};

/// Interval between two checks of the stop flag.
const STOP_CHECK_INTERVAL: Micros = 20_000;
/// Bytes that each direction of a connection buffers at most.
const BUFFER_BYTES: usize = 256 * 1024;

/// The next receipt. No two connections get the same one.
static NEXT_RECEIPT: AtomicU64 = AtomicU64::new(1);

enum EchoReport {
    Timer,
    AcceptReady,
}

impl Report for EchoReport {
    fn timer(_: u32) -> Self {
        EchoReport::Timer
    }
}

enum Object {
    Listener(Listener<EchoReport>),
    Connection(EchoConnection),
}

struct EchoConnection {
    key: Key,
    stream: LineStream,
    up: bool,
    closed: bool,
}

impl EchoConnection {
    fn readable(&mut self, io: &mut Io<EchoReport>) {
        if self.stream.is_full() {
            return;
        }
        let fill = self.stream.fill();
        if !self.up {
            match self.stream.take_line() {
                Ok(Some(_)) => {
                    self.up = true;
                    let receipt = NEXT_RECEIPT.fetch_add(1, Ordering::Relaxed);
                    self.stream.push(format!("UP {receipt:x}\r\n").as_bytes());
                }
                Ok(None) => {}
                Err(_) => self.closed = true,
            }
        }
        if self.up {
            let rest = self.stream.take_rest();
            self.stream.push(&rest);
        }
        if self.stream.flush().is_err() {
            self.closed = true;
        }
        match fill {
            Fill::Blocked => {}
            Fill::More => io.call_again(self.key, Half::Near),
            Fill::Ended | Fill::Broken(_) => self.closed = true,
        }
    }
}

impl Connection for Object {
    type Report = EchoReport;

    fn readable(&mut self, io: &mut Io<EchoReport>, leg: Half) {
        match self {
            Object::Listener(listener) => listener.readable(io, leg),
            Object::Connection(connection) => connection.readable(io),
        }
    }

    fn writable(&mut self, io: &mut Io<EchoReport>, _: Half) {
        if let Object::Connection(connection) = self {
            if connection.stream.flush().is_err() {
                connection.closed = true;
            }
            // `readable` left the input unread while the output was full.
            io.call_again(connection.key, Half::Near);
        }
    }

    fn timer(&mut self, _: &mut Io<EchoReport>, _: u32) {}

    fn done(&self) -> bool {
        matches!(self, Object::Connection(EchoConnection { closed: true, .. }))
    }
}

/// The echo render nodes, each on a thread of its own.
pub struct EchoNodes {
    stop: Arc<AtomicBool>,
    threads: Vec<JoinHandle<io::Result<()>>>,
}

impl EchoNodes {
    /// Starts a render node at each address. Fails if it cannot listen at one of them.
    pub fn start(addresses: &[SocketAddr]) -> io::Result<EchoNodes> {
        let stop = Arc::new(AtomicBool::new(false));
        let (result_sender, bind_results) = channel();
        let threads = addresses
            .iter()
            .map(|address| {
                let (address, stop, result_sender) = (*address, Arc::clone(&stop), result_sender.clone());
                thread::spawn(move || serve(address, &stop, &result_sender))
            })
            .collect();
        let nodes = EchoNodes { stop, threads };
        // Each thread sends the result of its binding. A thread that fails earlier drops its sender.
        drop(result_sender);
        for _ in addresses {
            bind_results.recv().map_err(|_| io::Error::from(io::ErrorKind::BrokenPipe))??;
        }
        Ok(nodes)
    }

    /// Stops the threads and returns the first error of a thread.
    pub fn stop(mut self) -> io::Result<()> {
        self.stop.store(true, Ordering::Release);
        let mut results = self.threads.drain(..).map(JoinHandle::join);
        results.try_for_each(|result| result.unwrap_or_else(|_| Err(io::ErrorKind::Other.into())))
    }
}

impl Drop for EchoNodes {
    fn drop(&mut self) {
        self.stop.store(true, Ordering::Release);
    }
}

fn serve(address: SocketAddr, stop: &AtomicBool, result_sender: &Sender<io::Result<()>>) -> io::Result<()> {
    let mut reactor: Reactor<Object> = Reactor::new(Clock::unix())?;
    reactor.io.buffer_bound = BUFFER_BYTES;
    let mut listener: Option<Rc<TcpListener>> = None;
    let bind_result = reactor.insert(|key, io| {
        let (object, socket) = Listener::bind(address, |_| EchoReport::AcceptReady, key, io)?;
        listener = Some(socket);
        Ok(Box::new(Object::Listener(object)))
    });
    // Sending fails only if `EchoNodes::start` has already returned with an error.
    let _ = result_sender.send(bind_result.map(drop));
    let Some(listener) = listener else { return Ok(()) };
    let now = reactor.io.now();
    reactor.io.owner_timer(now + STOP_CHECK_INTERVAL, 0);
    while !stop.load(Ordering::Acquire) {
        reactor.turn()?;
        while let Some(report) = reactor.io.reports.pop_front() {
            match report {
                EchoReport::Timer => {
                    let now = reactor.io.now();
                    reactor.io.owner_timer(now + STOP_CHECK_INTERVAL, 0);
                }
                EchoReport::AcceptReady => accept(&mut reactor, &listener),
            }
        }
    }
    Ok(())
}

fn accept(reactor: &mut Reactor<Object>, listener: &TcpListener) {
    // An error means that no connection is pending, or that a client closed its connection before it was accepted.
    while let Ok((stream, _)) = listener.accept() {
        let object = reactor.insert(|key, io| {
            let stream = LineStream::accepted(stream, io, key)?;
            Ok(Box::new(Object::Connection(EchoConnection { key, stream, up: false, closed: false })))
        });
        // A connection that could not be registered is closed here.
        drop(object);
    }
}
