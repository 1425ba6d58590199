//! A streamed HTTP/1.1 response, fed as it comes: the head by httparse, then the body as it is framed, in chunks, by a
//! length or by the connection's end. It may be split anywhere, within a chunk's size line too.

/// A response head is not longer.
const MAX_HEAD: usize = 16 * 1024;

/// Why the response cannot be read on.
#[derive(Debug, thiserror::Error)]
pub enum ResponseError {
    /// The head can't be parsed.
    #[error("the response cannot be read: {0}")]
    Malformed(#[from] httparse::Error),
    /// The status is not 200.
    #[error("the response is answered {0}")]
    Status(u16),
    /// The body's length is no number, or comes beside chunks.
    #[error("the response's length cannot be read")]
    BadLength,
    /// The chunking is broken.
    #[error("a chunk's size or end cannot be read")]
    BadChunk,
    /// The head is longer than its bound.
    #[error("the response's head is too long")]
    TooLong,
    /// The whole response was received.
    #[error("the response has ended")]
    Over,
}

#[derive(Debug)]
enum State {
    Head,
    Size,
    Data(u64),
    DataEnd,
    /// Within a body of a known length, of which so many bytes are to come.
    Left(u64),
    /// Within a body that the connection's end delimits.
    UntilClose,
}

/// Reads a response's body.
#[derive(Debug)]
pub struct StreamedResponse {
    state: State,
    raw: Vec<u8>,
}

impl Default for StreamedResponse {
    fn default() -> Self {
        Self::new()
    }
}

impl StreamedResponse {
    /// Before the first byte.
    pub fn new() -> Self {
        StreamedResponse { state: State::Head, raw: Vec::new() }
    }

    /// Takes bytes as they arrived and appends what they hold of the body to `body`, also what preceded an error.
    pub fn feed(&mut self, bytes: &[u8], body: &mut Vec<u8>) -> Result<(), ResponseError> {
        self.raw.extend_from_slice(bytes);
        loop {
            let used = match self.state {
                State::Head => self.head()?,
                State::Size => match httparse::parse_chunk_size(&self.raw) {
                    Ok(httparse::Status::Partial) if self.raw.len() > MAX_HEAD => {
                        return Err(ResponseError::TooLong);
                    }
                    Ok(httparse::Status::Partial) => None,
                    Ok(httparse::Status::Complete((_, 0))) => return Err(ResponseError::Over),
                    Ok(httparse::Status::Complete((used, size))) => {
                        self.state = State::Data(size);
                        Some(used)
                    }
                    Err(_) => return Err(ResponseError::BadChunk),
                },
                State::Data(left) => {
                    let (taken, left) = self.forward_body(left, body);
                    self.state = if left == 0 { State::DataEnd } else { State::Data(left) };
                    (taken > 0).then_some(taken)
                }
                State::DataEnd => match self.raw.get(..2) {
                    Some(b"\r\n") => {
                        self.state = State::Size;
                        Some(2)
                    }
                    Some(_) => return Err(ResponseError::BadChunk),
                    None => None,
                },
                State::Left(left) => {
                    let (taken, left) = self.forward_body(left, body);
                    if left == 0 {
                        return Err(ResponseError::Over);
                    }
                    self.state = State::Left(left);
                    (taken > 0).then_some(taken)
                }
                State::UntilClose => {
                    let (taken, _) = self.forward_body(u64::MAX, body);
                    (taken > 0).then_some(taken)
                }
            };
            match used {
                Some(used) => drop(self.raw.drain(..used)),
                None => return Ok(()),
            }
        }
    }

    /// Whether the head is complete.
    pub fn has_head(&self) -> bool {
        !matches!(self.state, State::Head)
    }

    /// Appends at most `left` bytes to the body; returns how many, and how many are then left to come.
    fn forward_body(&self, left: u64, body: &mut Vec<u8>) -> (usize, u64) {
        let taken = self.raw.len().min(usize::try_from(left).unwrap_or(usize::MAX));
        body.extend_from_slice(&self.raw[..taken]);
        (taken, left - taken as u64)
    }

    fn head(&mut self) -> Result<Option<usize>, ResponseError> {
        let mut headers = [httparse::EMPTY_HEADER; 32];
        let mut response = httparse::Response::new(&mut headers);
        let used = match response.parse(&self.raw)? {
            httparse::Status::Partial if self.raw.len() > MAX_HEAD => return Err(ResponseError::TooLong),
            httparse::Status::Partial => return Ok(None),
            httparse::Status::Complete(used) => used,
        };
        match response.code {
            Some(200) => {}
            code => return Err(ResponseError::Status(code.unwrap_or(0))),
        }
        let named = |name: &str| response.headers.iter().find(|h| h.name.eq_ignore_ascii_case(name));
        self.state = match (named("transfer-encoding"), named("content-length")) {
            (Some(coding), None) if coding.value.eq_ignore_ascii_case(b"chunked") => State::Size,
            (None, Some(length)) => {
                let length = std::str::from_utf8(length.value).ok().and_then(|text| text.trim().parse().ok());
                State::Left(length.ok_or(ResponseError::BadLength)?)
            }
            (None, None) => State::UntilClose,
            _ => return Err(ResponseError::BadLength),
        };
        Ok(Some(used))
    }
}
