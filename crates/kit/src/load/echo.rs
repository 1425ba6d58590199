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
const LOOK: Micros = 20_000;
/// Bytes that each direction of a connection buffers at most.
const BUFFER: usize = 256 * 1024;

/// The next receipt. No two connections get the same one.
static RECEIPT: AtomicU64 = AtomicU64::new(1);

enum Told {
    Timer,
    Acceptable,
}

impl Report for Told {
    fn timer(_: u32) -> Self {
        Told::Timer
    }
}

enum Object {
    Listener(Listener<Told>),
    Connection(Echoing),
}

struct Echoing {
    key: Key,
    stream: LineStream,
    up: bool,
    over: bool,
}

impl Echoing {
    fn readable(&mut self, io: &mut Io<Told>) {
        if self.stream.is_full() {
            return;
        }
        let fill = self.stream.fill();
        if !self.up {
            match self.stream.take_line() {
                Ok(Some(_)) => {
                    self.up = true;
                    let receipt = RECEIPT.fetch_add(1, Ordering::Relaxed);
                    self.stream.push(format!("UP {receipt:x}\r\n").as_bytes());
                }
                Ok(None) => {}
                Err(_) => self.over = true,
            }
        }
        if self.up {
            let rest = self.stream.take_rest();
            self.stream.push(&rest);
        }
        if self.stream.flush().is_err() {
            self.over = true;
        }
        match fill {
            Fill::Blocked => {}
            Fill::More => io.call_again(self.key, Half::Near),
            Fill::Ended | Fill::Broken(_) => self.over = true,
        }
    }
}

impl Connection for Object {
    type Report = Told;

    fn readable(&mut self, io: &mut Io<Told>, leg: Half) {
        match self {
            Object::Listener(listener) => listener.readable(io, leg),
            Object::Connection(echoing) => echoing.readable(io),
        }
    }

    fn writable(&mut self, io: &mut Io<Told>, _: Half) {
        if let Object::Connection(echoing) = self {
            if echoing.stream.flush().is_err() {
                echoing.over = true;
            }
            // `readable` left the input unread while the output was full.
            io.call_again(echoing.key, Half::Near);
        }
    }

    fn timer(&mut self, _: &mut Io<Told>, _: u32) {}

    fn done(&self) -> bool {
        matches!(self, Object::Connection(Echoing { over: true, .. }))
    }
}

/// The echo render nodes, each on a thread of its own.
pub struct Echo {
    stop: Arc<AtomicBool>,
    threads: Vec<JoinHandle<io::Result<()>>>,
}

impl Echo {
    /// Starts a render node at each address. Fails if it cannot listen at one of them.
    pub fn start(at: &[SocketAddr]) -> io::Result<Echo> {
        let stop = Arc::new(AtomicBool::new(false));
        let (ready, bound) = channel();
        let threads = at
            .iter()
            .map(|address| {
                let (address, stop, ready) = (*address, Arc::clone(&stop), ready.clone());
                thread::spawn(move || serve(address, &stop, &ready))
            })
            .collect();
        let echo = Echo { stop, threads };
        // Each thread sends the result of its binding. A thread that fails earlier drops its sender.
        drop(ready);
        for _ in at {
            bound.recv().map_err(|_| io::Error::from(io::ErrorKind::BrokenPipe))??;
        }
        Ok(echo)
    }

    /// Stops the threads and returns the first error of a thread.
    pub fn stop(mut self) -> io::Result<()> {
        self.stop.store(true, Ordering::Release);
        let mut results = self.threads.drain(..).map(JoinHandle::join);
        results.try_for_each(|result| result.unwrap_or_else(|_| Err(io::ErrorKind::Other.into())))
    }
}

impl Drop for Echo {
    fn drop(&mut self) {
        self.stop.store(true, Ordering::Release);
    }
}

fn serve(address: SocketAddr, stop: &AtomicBool, ready: &Sender<io::Result<()>>) -> io::Result<()> {
    let mut reactor: Reactor<Object> = Reactor::new(Clock::unix())?;
    reactor.io.buffer_bound = BUFFER;
    let mut listener: Option<Rc<TcpListener>> = None;
    let bound = reactor.insert(|key, io| {
        let (object, socket) = Listener::bind(address, |_| Told::Acceptable, key, io)?;
        listener = Some(socket);
        Ok(Box::new(Object::Listener(object)))
    });
    // Sending fails only if `Echo::start` has already returned with an error.
    let _ = ready.send(bound.map(drop));
    let Some(listener) = listener else { return Ok(()) };
    let now = reactor.io.now();
    reactor.io.owner_timer(now + LOOK, 0);
    while !stop.load(Ordering::Acquire) {
        reactor.turn()?;
        while let Some(told) = reactor.io.reports.pop_front() {
            match told {
                Told::Timer => {
                    let now = reactor.io.now();
                    reactor.io.owner_timer(now + LOOK, 0);
                }
                Told::Acceptable => accept(&mut reactor, &listener),
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
            Ok(Box::new(Object::Connection(Echoing { key, stream, up: false, over: false })))
        });
        // A connection that could not be registered is closed here.
        drop(object);
    }
}
