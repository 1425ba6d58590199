//! A line protocol on a non-blocking socket: CRLF framing with a maximum line length, partial reads and writes, and bounded
//! buffers.

use crate::reactor::{Half, Io, Key, Report};
use mio::net::TcpStream;
use std::io::{self, Read, Write};
use std::net::{Shutdown, SocketAddr};
use std::os::fd::OwnedFd;
use std::time::Duration;

/// Maximum length of a line in bytes, including the line end.
pub const MAX_LINE: usize = 4096;
/// Maximum number of bytes read in one callback, so that other connections are served too.
const MAX_READ_PER_CALL: usize = 16 * 1024;

/// Capacity in bytes up to which an empty buffer keeps its memory.
const KEPT_CAPACITY: usize = MAX_LINE;

/// The result of a call of [`LineStream::fill`].
#[derive(Debug)]
pub enum Fill {
    /// The socket has no more data.
    Blocked,
    /// The socket may have more data; the caller must take input and call again.
    More,
    /// The peer has shut down its sending side.
    Ended,
    /// The connection is broken.
    Broken(io::Error),
}

/// Error for a line that is longer than [`MAX_LINE`].
#[derive(Debug, thiserror::Error)]
#[error("a line of over {MAX_LINE} bytes")]
pub struct TooLong;

/// A socket of a line protocol, with its input and output buffers.
#[derive(Debug)]
pub struct LineStream {
    stream: TcpStream,
    input: Vec<u8>,
    /// Number of bytes at the start of `input` that were taken as lines. They are removed before the next read, since moving
    /// the rest of the buffer for each of many short lines would take quadratic time.
    taken: usize,
    output: Vec<u8>,
    /// Size in bytes above which a buffer is full. While the output buffer is full, the other side of a relayed connection is
    /// not read; while the input buffer is full, this socket is not read.
    buffer_limit: usize,
    /// Whether to shut down the sending side once the output buffer is empty.
    shutdown_requested: bool,
    shutdown_done: bool,
    /// The error that broke the connection. The operating system reports it only to the first read or write; later reads
    /// return an orderly end.
    broken: Option<io::ErrorKind>,
    /// Whether TCP_NODELAY is set. Until setting the option succeeds, each flush tries again.
    nagle_is_disabled: bool,
}

/// Error for an accepted socket that could not be registered with the poll. It returns the socket, since the client must still
/// get an answer.
#[derive(Debug, thiserror::Error)]
#[error("an accepted socket cannot be registered with the poll: {error}")]
pub struct RegistrationError {
    /// The socket.
    pub stream: TcpStream,
    /// The error of the registration.
    pub error: io::Error,
}

impl From<RegistrationError> for io::Error {
    fn from(failed: RegistrationError) -> Self {
        failed.error
    }
}

impl LineStream {
    /// Takes ownership of an accepted socket and registers it. If that fails, the error returns the socket.
    pub fn accepted<R: Report>(
        mut stream: TcpStream,
        io: &Io<R>,
        key: Key,
    ) -> Result<Self, RegistrationError> {
        if let Err(error) = io.register(&mut stream, key, Half::Near) {
            // In debug builds mio registers a source only once, so the socket is wrapped in a new source.
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

    /// Starts a non-blocking connect.
    pub fn connect<R: Report>(address: SocketAddr, io: &Io<R>, key: Key, half: Half) -> io::Result<Self> {
        let mut stream = TcpStream::connect(address)?;
        io.register(&mut stream, key, half)?;
        Ok(Self::new(stream, io))
    }

    fn new<R: Report>(stream: TcpStream, io: &Io<R>) -> Self {
        let (input, output, buffer_limit) = (Vec::new(), Vec::new(), io.buffer_bound);
        let (shutdown_requested, shutdown_done, broken, nagle_is_disabled) = (false, false, None, false);
        LineStream {
            stream,
            input,
            taken: 0,
            output,
            buffer_limit,
            shutdown_requested,
            shutdown_done,
            broken,
            nagle_is_disabled,
        }
    }

    /// Whether the connect has completed. To be called after `writable`.
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

    /// Reads received data like [`Self::fill`], unless a complete line is buffered already. For callers that take only some of the
    /// lines in one callback.
    pub fn fill_unless_line(&mut self) -> Fill {
        if self.has_line() { Fill::More } else { self.fill() }
    }

    /// Reads received data into the input buffer, at most `MAX_READ_PER_CALL` bytes or up to the buffer's limit.
    pub fn fill(&mut self) -> Fill {
        self.input.drain(..self.taken);
        self.taken = 0;
        let mut chunk = [0; MAX_LINE];
        let mut received = 0;
        // The buffer's limit bounds the memory for a client that keeps sending before it is answered. The buffered bytes
        // go to whoever takes the buffer over, and the rest stays in the socket.
        while received < MAX_READ_PER_CALL && self.input.len() < self.buffer_limit {
            match self.stream.read(&mut chunk) {
                Ok(0) => return self.broken.map_or(Fill::Ended, |kind| Fill::Broken(kind.into())),
                Ok(n) => {
                    append(&mut self.input, &chunk[..n]);
                    received += n;
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

    /// Takes the next complete line, including the line end.
    pub fn take_line(&mut self) -> Result<Option<Vec<u8>>, TooLong> {
        let input = &self.input[self.taken..];
        let end = input.iter().take(MAX_LINE).position(|b| *b == b'\n');
        match end {
            Some(end) => {
                let line = input[..=end].to_vec();
                self.taken += line.len();
                if self.taken == self.input.len() {
                    self.clear_input();
                }
                Ok(Some(line))
            }
            None if input.len() >= MAX_LINE => Err(TooLong),
            None => Ok(None),
        }
    }

    /// Whether the input buffer holds a complete line, or the start of one that is too long.
    pub fn has_line(&self) -> bool {
        let input = &self.input[self.taken..];
        input.len() >= MAX_LINE || input.contains(&b'\n')
    }

    /// Reads received data and discards it.
    pub fn discard(&mut self) -> Fill {
        self.clear_input();
        let fill = self.fill();
        self.clear_input();
        fill
    }

    fn clear_input(&mut self) {
        self.input.clear();
        release_memory(&mut self.input);
        self.taken = 0;
    }

    /// Whether the connection is known to be broken, or the socket has a pending error. After the peer has shut down its sending
    /// side, reads keep returning the end of the stream and do not show that the connection was broken later.
    pub fn is_broken(&self) -> bool {
        self.broken.is_some() || !matches!(self.stream.take_error(), Ok(None))
    }

    /// Whether the input buffer holds bytes that were not taken.
    pub fn has_input(&self) -> bool {
        self.input.len() > self.taken
    }

    /// Takes all bytes of the input buffer.
    pub fn take_rest(&mut self) -> Vec<u8> {
        let taken = std::mem::take(&mut self.taken);
        let mut rest = std::mem::take(&mut self.input);
        rest.drain(..taken);
        rest
    }

    /// Queues bytes for [`flush`](Self::flush).
    pub fn push(&mut self, bytes: &[u8]) {
        append(&mut self.output, bytes);
    }

    /// Shuts down the sending side once all queued bytes are written.
    pub fn finish(&mut self) {
        self.shutdown_requested = true;
    }

    /// Writes queued bytes. Returns true once all of them are written.
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
                    // A broken pipe is not recorded: either the peer closed the connection in an orderly way, or the reset
                    // was reported before.
                    if error.kind() != io::ErrorKind::BrokenPipe {
                        self.broken = Some(error.kind());
                    }
                    break Err(error);
                }
            }
        };
        self.output.drain(..sent);
        release_memory(&mut self.output);
        if self.shutdown_requested && !self.shutdown_done && self.output.is_empty() {
            self.shutdown_done = true;
            // Fails if the peer has already closed the connection, which needs no action.
            let _ = self.stream.shutdown(Shutdown::Write);
        }
        result
    }

    /// Whether the output buffer is full. While it is, no more data may be read from the other side of a relayed connection.
    pub fn is_full(&self) -> bool {
        self.output.len() >= self.buffer_limit
    }

    /// Makes the next close send a reset, to pass on a reset from the other side of a relayed connection.
    pub fn reset(&self) {
        // Fails only on a closed socket, which needs no reset.
        let _ = socket2::SockRef::from(&self.stream).set_linger(Some(Duration::ZERO));
    }
}

/// Appends bytes to a buffer. The capacity grows in steps of [`MAX_LINE`]: doubling it would take up to twice the memory that the
/// buffers' limits allow.
fn append(buffer: &mut Vec<u8>, bytes: &[u8]) {
    let needed = buffer.len() + bytes.len();
    if needed > buffer.capacity() {
        buffer.reserve_exact(needed.next_multiple_of(MAX_LINE) - buffer.len());
    }
    buffer.extend_from_slice(bytes);
}

/// Releases the memory of an empty buffer, since most connections are idle most of the time.
fn release_memory(buffer: &mut Vec<u8>) {
    if buffer.is_empty() && buffer.capacity() > KEPT_CAPACITY {
        *buffer = Vec::new();
    }
}

/// Returns the line without its line end.
pub fn trim_end(line: &[u8]) -> &[u8] {
    let line = line.strip_suffix(b"\n").unwrap_or(line);
    line.strip_suffix(b"\r").unwrap_or(line)
}
