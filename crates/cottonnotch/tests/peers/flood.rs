//! Peers that send at full speed.

use std::io::{ErrorKind, Read, Write};
use std::net::{Shutdown, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::JoinHandle;
use std::time::Duration;

/// A connection on which a text is sent over and over at full speed while all that comes back is read. Ends when dropped.
pub struct Flood {
    stream: TcpStream,
    is_over: Arc<AtomicBool>,
    threads: Vec<JoinHandle<()>>,
    has_error: Arc<AtomicBool>,
}

impl Flood {
    /// Begins to send. An empty text makes a peer that only reads.
    pub fn start(stream: TcpStream, text: &str) -> Self {
        // Longer than what the proxy reads at once.
        const AT_ONCE: usize = 64 * 1024;
        let mut flood = Flood {
            stream,
            is_over: Arc::new(AtomicBool::new(false)),
            threads: Vec::new(),
            has_error: Arc::new(AtomicBool::new(false)),
        };
        let (reader, has_error) = (flood.stream.try_clone().unwrap(), Arc::clone(&flood.has_error));
        flood.threads.push(std::thread::spawn(move || read_all(reader, &has_error)));
        if !text.is_empty() {
            let (writer, is_over) = (flood.stream.try_clone().unwrap(), Arc::clone(&flood.is_over));
            let bytes = text.repeat(AT_ONCE.div_ceil(text.len()));
            flood.threads.push(std::thread::spawn(move || write_all(&writer, bytes.as_bytes(), &is_over)));
        }
        flood
    }

    /// Whether an error line has come back.
    pub fn has_error(&self) -> bool {
        self.has_error.load(Ordering::Relaxed)
    }
}

impl Drop for Flood {
    fn drop(&mut self) {
        self.is_over.store(true, Ordering::Relaxed);
        // Fails if the proxy has closed the connection already.
        let _ = self.stream.shutdown(Shutdown::Both);
        self.threads.drain(..).for_each(|thread| thread.join().unwrap());
    }
}

fn read_all(mut stream: TcpStream, has_error: &AtomicBool) {
    let mut bytes = [0; 65_536];
    loop {
        match stream.read(&mut bytes) {
            Ok(n @ 1..) => {
                if bytes[..n].windows(3).any(|word| word == b"ERR") {
                    has_error.store(true, Ordering::Relaxed);
                }
            }
            Err(error) if matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => {}
            _ => return,
        }
    }
}

fn write_all(mut stream: &TcpStream, bytes: &[u8], is_over: &AtomicBool) {
    stream.set_write_timeout(Some(Duration::from_millis(100))).unwrap();
    let mut sent = 0;
    while !is_over.load(Ordering::Relaxed) {
        match stream.write(&bytes[sent..]) {
            Ok(n) => sent = (sent + n) % bytes.len(),
            Err(error) if matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => {}
            Err(_) => return,
        }
    }
}

/// Hundreds of clients that send at full speed, on one thread, and the render node's ends of their connections on another one. Ends
/// when dropped.
pub struct FloodGroup {
    is_over: Arc<AtomicBool>,
    threads: Vec<JoinHandle<()>>,
}

/// What the peers of a [`FloodGroup`] do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FloodMode {
    /// The clients send; the render node returns what it gets, and they read it.
    Echoed,
    /// Both sides send, and neither reads.
    Deaf,
}

impl FloodGroup {
    /// Begins to send this text on each client's connection.
    pub fn start(clients: Vec<TcpStream>, far_ends: Vec<TcpStream>, text: &str, mode: FloodMode) -> Self {
        const AT_ONCE: usize = 16 * 1024;
        let is_over = Arc::new(AtomicBool::new(false));
        let bytes = text.repeat(AT_ONCE / text.len()).into_bytes();
        let (far_bytes, is_over_for_clients) = (bytes.clone(), Arc::clone(&is_over));
        let send = move || {
            let mut buffer = [0; 65_536];
            while !is_over_for_clients.load(Ordering::Relaxed) {
                for mut client in &clients {
                    let _ = client.write(&bytes);
                    if mode == FloodMode::Echoed {
                        let _ = client.read(&mut buffer);
                    }
                }
            }
        };
        let is_over_for_node = Arc::clone(&is_over);
        let echo = move || {
            let mut buffer = [0; 65_536];
            while !is_over_for_node.load(Ordering::Relaxed) {
                for mut far_end in &far_ends {
                    if mode == FloodMode::Deaf {
                        let _ = far_end.write(&far_bytes);
                    } else if let Ok(length) = far_end.read(&mut buffer) {
                        let _ = far_end.write(&buffer[..length]);
                    }
                }
            }
        };
        FloodGroup { is_over, threads: vec![std::thread::spawn(send), std::thread::spawn(echo)] }
    }
}

impl Drop for FloodGroup {
    fn drop(&mut self) {
        self.is_over.store(true, Ordering::Relaxed);
        self.threads.drain(..).for_each(|thread| thread.join().unwrap());
    }
}
