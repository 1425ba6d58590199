//! Lines on a non-blocking socket: CRLF framing with a bound, partial reads and writes, bounded buffers.

use crate::reactor::{Half, Io, Key, Report};
use mio::net::TcpStream;
use std::io::{self, Read, Write};
use std::net::{Shutdown, SocketAddr};
use std::os::fd::OwnedFd;
use std::time::Duration;

/// No line is longer, its end included.
pub const MAX_LINE: usize = 4096;
/// Bytes read in one callback before other connections have their turn.
const MAX_TURN: usize = 16 * 1024;

/// How one call of [`LineStream::fill`] ended.
#[derive(Debug)]
pub enum Fill {
    /// All that has arrived is in the buffer.
    Blocked,
    /// There may be more; to be called again.
    More,
    /// The peer has ended its sending.
    Ended,
    /// The connection is broken.
    Broken(io::Error),
}

/// A line is longer than [`MAX_LINE`].
#[derive(Debug, thiserror::Error)]
#[error("a line of over {MAX_LINE} bytes")]
pub struct TooLong;

/// A socket that speaks lines.
#[derive(Debug)]
pub struct LineStream {
    stream: TcpStream,
    input: Vec<u8>,
    output: Vec<u8>,
    /// While more than this waits to be written, the other side is not read; nor is more than this read and
    /// not yet taken.
    bound: usize,
    /// End our sending once all is written.
    finish: bool,
    finished: bool,
    /// How it broke. The system reports that once, to the first read or write; a read after that returns an orderly end.
    broken: Option<io::ErrorKind>,
    /// What is written is sent at once (TCP_NODELAY). Until the system has accepted that, it is asked at each write.
    nagle_is_disabled: bool,
}

/// An accepted socket that could not be registered with the poll. It is given back: its client is still owed an answer.
#[derive(Debug, thiserror::Error)]
#[error("an accepted socket cannot be watched: {error}")]
pub struct RegistrationError {
    /// The socket.
    pub stream: TcpStream,
    /// Why.
    pub error: io::Error,
}

impl From<RegistrationError> for io::Error {
    fn from(failed: RegistrationError) -> Self {
        failed.error
    }
}

impl LineStream {
    /// Takes over an accepted socket. It is given back in the error if it can't be registered.
    pub fn accepted<R: Report>(
        mut stream: TcpStream,
        io: &Io<R>,
        key: Key,
    ) -> Result<Self, RegistrationError> {
        if let Err(error) = io.register(&mut stream, key, Half::Near) {
            // As a source that no poll has seen: in debug builds mio takes one only once.
            let fresh = std::net::TcpStream::from(OwnedFd::from(stream));
            return Err(RegistrationError { stream: TcpStream::from_std(fresh), error });
        }
        let mut accepted = Self::new(stream, io);
        accepted.disable_nagle();
        Ok(accepted)
    }

    fn disable_nagle(&mut self) {
        self.nagle_is_disabled = self.nagle_is_disabled || self.stream.set_nodelay(true).is_ok();
    }

    /// Begins to connect.
    pub fn connect<R: Report>(address: SocketAddr, io: &Io<R>, key: Key, half: Half) -> io::Result<Self> {
        let mut stream = TcpStream::connect(address)?;
        io.register(&mut stream, key, half)?;
        Ok(Self::new(stream, io))
    }

    fn new<R: Report>(stream: TcpStream, io: &Io<R>) -> Self {
        let (input, output, bound) = (Vec::new(), Vec::new(), io.buffer_bound);
        let (finish, finished, broken, nagle_is_disabled) = (false, false, None, false);
        LineStream { stream, input, output, bound, finish, finished, broken, nagle_is_disabled }
    }

    /// After `writable`: whether the connection stands by now.
    pub fn connected(&mut self) -> io::Result<bool> {
        if let Some(error) = self.stream.take_error()? {
            return Err(error);
        }
        match self.stream.peer_addr() {
            Ok(_) => {
                self.disable_nagle();
                Ok(true)
            }
            Err(error) if error.kind() == io::ErrorKind::NotConnected => Ok(false),
            Err(error) => Err(error),
        }
    }

    /// Reads what has arrived, as far as this turn allows.
    pub fn fill(&mut self) -> Fill {
        let mut chunk = [0; MAX_LINE];
        let mut taken = 0;
        while taken < MAX_TURN.min(self.bound) {
            // Guards against a client that sends on and on before it is answered: what it sends then is
            // read by whoever takes over the buffer, and the rest waits in its own socket.
            if self.input.len() >= self.bound {
                return Fill::Blocked;
            }
            match self.stream.read(&mut chunk) {
                Ok(0) => return self.broken.map_or(Fill::Ended, |kind| Fill::Broken(kind.into())),
                Ok(n) => {
                    self.input.extend_from_slice(&chunk[..n]);
                    taken += n;
                }
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => return Fill::Blocked,
                Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
                Err(error) => {
                    self.broken = Some(error.kind());
                    return Fill::Broken(error);
                }
            }
        }
        Fill::More
    }

    /// Takes the next complete line, its end included.
    pub fn take_line(&mut self) -> Result<Option<Vec<u8>>, TooLong> {
        let end = self.input.iter().take(MAX_LINE).position(|b| *b == b'\n');
        match end {
            Some(end) => Ok(Some(self.input.drain(..=end).collect())),
            None if self.input.len() >= MAX_LINE => Err(TooLong),
            None => Ok(None),
        }
    }

    /// Reads what has arrived and drops it.
    pub fn discard(&mut self) -> Fill {
        self.input.clear();
        let fill = self.fill();
        self.input.clear();
        fill
    }

    /// The peer has broken the connection after it ended its sending: reading shows only the end, for good.
    pub fn is_broken(&self) -> bool {
        !matches!(self.stream.take_error(), Ok(None))
    }

    /// Whether bytes have arrived that were not taken.
    pub fn has_input(&self) -> bool {
        !self.input.is_empty()
    }

    /// Takes the bytes that have arrived and are no complete line.
    pub fn take_rest(&mut self) -> Vec<u8> {
        std::mem::take(&mut self.input)
    }

    /// Queues bytes for [`flush`](Self::flush).
    pub fn push(&mut self, bytes: &[u8]) {
        self.output.extend_from_slice(bytes);
    }

    /// Ends our sending once all that was queued is written.
    pub fn finish(&mut self) {
        self.finish = true;
    }

    /// Writes what is queued; true once every byte has been written.
    pub fn flush(&mut self) -> io::Result<bool> {
        self.disable_nagle();
        let mut sent = 0;
        let result = loop {
            if sent == self.output.len() {
                break Ok(true);
            }
            match self.stream.write(&self.output[sent..]) {
                Ok(0) => break Err(io::ErrorKind::WriteZero.into()),
                Ok(n) => sent += n,
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => break Ok(false),
                Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
                Err(error) => {
                    // A broken pipe is no news: the peer had ended in order before, or the reset was reported already.
                    if error.kind() != io::ErrorKind::BrokenPipe {
                        self.broken = Some(error.kind());
                    }
                    break Err(error);
                }
            }
        };
        self.output.drain(..sent);
        if self.finish && !self.finished && self.output.is_empty() {
            self.finished = true;
            // The peer may be gone already; then there is nothing left to end.
            let _ = self.stream.shutdown(Shutdown::Write);
        }
        result
    }

    /// Too much waits to be written for more to be read from the other side.
    pub fn is_full(&self) -> bool {
        self.output.len() >= self.bound
    }

    /// Makes the coming close a reset, as the other side's was.
    pub fn reset(&self) {
        // Fails only on a socket that is gone, which needs no reset.
        let _ = socket2::SockRef::from(&self.stream).set_linger(Some(Duration::ZERO));
    }
}

/// A line without its end.
pub fn trim_end(line: &[u8]) -> &[u8] {
    let line = line.strip_suffix(b"\n").unwrap_or(line);
    line.strip_suffix(b"\r").unwrap_or(line)
}
