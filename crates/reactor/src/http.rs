//! An incremental parser for HTTP/1.1 responses, without I/O. httparse parses the head; the body is chunked, has a
//! Content-Length, or ends when the connection closes. The input may be split at any byte, also within a chunk's size line.

/// Maximum length of a response head or of a chunk's size line, in bytes.
const MAX_HEAD: usize = 16 * 1024;

/// The reason why parsing of a response stopped.
#[derive(Debug, thiserror::Error)]
pub enum ResponseError {
    /// The head is not valid HTTP.
    #[error("the response head is malformed: {0}")]
    Malformed(#[from] httparse::Error),
    /// The status is not 200.
    #[error("the response is answered {0}")]
    Status(u16),
    /// The Content-Length is not a number, or the combination of framing headers is not supported.
    #[error("the response's length cannot be read")]
    BadLength,
    /// A chunk's size line or the line end after its data is invalid.
    #[error("a chunk has an invalid size or end")]
    BadChunk,
    /// The head or a chunk's size line is longer than `MAX_HEAD`.
    #[error("the response head is too long")]
    TooLong,
    /// The whole response was received.
    #[error("the response has ended")]
    Complete,
}

#[derive(Debug)]
enum State {
    Head,
    ChunkSize,
    ChunkData(u64),
    ChunkEnd,
    /// In a body of known length; holds the number of remaining bytes.
    SizedBody(u64),
    /// In a body that ends when the connection closes.
    UntilClose,
}

/// Parses a response and extracts its body.
#[derive(Debug)]
pub struct StreamedResponse {
    state: State,
    buffer: Vec<u8>,
}

impl Default for StreamedResponse {
    fn default() -> Self {
        Self::new()
    }
}

impl StreamedResponse {
    /// Creates a parser that has received no bytes.
    pub fn new() -> Self {
        StreamedResponse { state: State::Head, buffer: Vec::new() }
    }

    /// Parses received bytes and appends their part of the response body to `body`, including the part before an error.
    pub fn feed(&mut self, bytes: &[u8], body: &mut Vec<u8>) -> Result<(), ResponseError> {
        self.buffer.extend_from_slice(bytes);
        loop {
            let consumed = match self.state {
                State::Head => self.parse_head()?,
                State::ChunkSize => match httparse::parse_chunk_size(&self.buffer) {
                    Ok(httparse::Status::Partial) if self.buffer.len() > MAX_HEAD => {
                        return Err(ResponseError::TooLong);
                    }
                    Ok(httparse::Status::Partial) => None,
                    Ok(httparse::Status::Complete((_, 0))) => return Err(ResponseError::Complete),
                    Ok(httparse::Status::Complete((consumed, size))) => {
                        self.state = State::ChunkData(size);
                        Some(consumed)
                    }
                    Err(_) => return Err(ResponseError::BadChunk),
                },
                State::ChunkData(left) => {
                    let (taken, left) = self.append_body(left, body);
                    self.state = if left == 0 { State::ChunkEnd } else { State::ChunkData(left) };
                    (taken > 0).then_some(taken)
                }
                State::ChunkEnd => match self.buffer.get(..2) {
                    Some(b"\r\n") => {
                        self.state = State::ChunkSize;
                        Some(2)
                    }
                    Some(_) => return Err(ResponseError::BadChunk),
                    None => None,
                },
                State::SizedBody(left) => {
                    let (taken, left) = self.append_body(left, body);
                    if left == 0 {
                        return Err(ResponseError::Complete);
                    }
                    self.state = State::SizedBody(left);
                    (taken > 0).then_some(taken)
                }
                State::UntilClose => {
                    let (taken, _) = self.append_body(u64::MAX, body);
                    (taken > 0).then_some(taken)
                }
            };
            match consumed {
                Some(consumed) => drop(self.buffer.drain(..consumed)),
                None => return Ok(()),
            }
        }
    }

    /// Whether the whole head has been received.
    pub fn has_head(&self) -> bool {
        !matches!(self.state, State::Head)
    }

    /// Appends at most `left` bytes to the body. Returns the number of bytes appended and the number that remain.
    fn append_body(&self, left: u64, body: &mut Vec<u8>) -> (usize, u64) {
        let taken = self.buffer.len().min(usize::try_from(left).unwrap_or(usize::MAX));
        body.extend_from_slice(&self.buffer[..taken]);
        (taken, left - taken as u64)
    }

    fn parse_head(&mut self) -> Result<Option<usize>, ResponseError> {
        let mut headers = [httparse::EMPTY_HEADER; 32];
        let mut response = httparse::Response::new(&mut headers);
        let consumed = match response.parse(&self.buffer)? {
            httparse::Status::Partial if self.buffer.len() > MAX_HEAD => return Err(ResponseError::TooLong),
            httparse::Status::Partial => return Ok(None),
            httparse::Status::Complete(consumed) => consumed,
        };
        match response.code {
            Some(200) => {}
            code => return Err(ResponseError::Status(code.unwrap_or(0))),
        }
        let find_header = |name: &str| response.headers.iter().find(|h| h.name.eq_ignore_ascii_case(name));
        self.state = match (find_header("transfer-encoding"), find_header("content-length")) {
            (Some(coding), None) if coding.value.eq_ignore_ascii_case(b"chunked") => State::ChunkSize,
            (None, Some(length)) => {
                let length = std::str::from_utf8(length.value).ok().and_then(|text| text.trim().parse().ok());
                State::SizedBody(length.ok_or(ResponseError::BadLength)?)
            }
            (None, None) => State::UntilClose,
            _ => return Err(ResponseError::BadLength),
        };
        Ok(Some(consumed))
    }
}
