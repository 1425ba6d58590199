//! What a story's proxies deal with: discovery, render nodes and clients. All are threads of the test, and all note their
//! times on its one clock.

mod clients;
mod discovery;
mod fleet;
#[cfg(test)]
mod proofs;

pub use clients::{Clients, Habit};
pub use discovery::Discovery;
pub use fleet::{Fleet, Manner};
use std::net::{Ipv4Addr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

/// How often whoever waits looks.
const LOOK: Duration = Duration::from_millis(2);

/// On the story's own address: clients of a proxy that died go on calling where it was, and must not meet another story there.
fn listener(ip: Ipv4Addr) -> TcpListener {
    let listener = TcpListener::bind((ip, 0)).unwrap();
    listener.set_nonblocking(true).unwrap();
    listener
}

/// Serves each caller by a thread of its own until the story is over.
fn each_caller(listener: &TcpListener, over: &AtomicBool, serve: impl Fn(TcpStream) + Send + Sync + 'static) {
    let serve = Arc::new(serve);
    while !over.load(Ordering::Relaxed) {
        match listener.accept() {
            Ok((caller, _)) => {
                let ready = caller
                    .set_nonblocking(false)
                    .and_then(|()| caller.set_nodelay(true))
                    .and_then(|()| caller.set_read_timeout(Some(Duration::from_secs(30))));
                let serve = Arc::clone(&serve);
                if ready.is_ok() {
                    std::thread::spawn(move || serve(caller));
                }
            }
            Err(_) => std::thread::sleep(LOOK),
        }
    }
}
