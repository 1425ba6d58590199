//! Stand-ins of discovery, render nodes and clients. All are threads of the test, and all record their
//! times on its one clock.

mod clients;
mod discovery;
mod fleet;
#[cfg(test)]
mod self_tests;

pub use clients::{ClientBehavior, Clients};
pub use discovery::Discovery;
pub use fleet::{Fleet, Manner};
use std::net::{Ipv4Addr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

/// The interval of polling loops.
const POLL_INTERVAL: Duration = Duration::from_millis(2);

/// On the scenario's own address: clients of a proxy that died keep connecting to it, and must not meet another scenario there.
fn listener(ip: Ipv4Addr) -> TcpListener {
    let listener = TcpListener::bind((ip, 0)).unwrap();
    listener.set_nonblocking(true).unwrap();
    listener
}

/// Serves each connection on a thread of its own until the scenario ends.
fn each_caller(
    listener: &TcpListener,
    stopped: &AtomicBool,
    serve: impl Fn(TcpStream) + Send + Sync + 'static,
) {
    let serve = Arc::new(serve);
    while !stopped.load(Ordering::Relaxed) {
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
            Err(_) => std::thread::sleep(POLL_INTERVAL),
        }
    }
}
