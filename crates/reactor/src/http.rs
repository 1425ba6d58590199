//! A streamed HTTP/1.1 response, fed as it comes: the head by httparse, then the body as it is framed, in chunks, by a
//! length or by the connection's end. It may be split anywhere, within a chunk's size line too.

/// A response head is not longer.
const MAX_HEAD: usize = 16 * 1024;

/// Why the response cannot be read on.
#[derive(Debug, thiserror::Error)]
pub enum BadResponse {
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
    /// More came than is kept.
    #[error("the response's head is too long")]
    TooLong,
    /// All of it has come.
    #[error("the response has ended")]
    Over,
}

#[derive(Debug)]
enum Part {
    Head,
    Size,
    Data(u64),
    DataEnd,
    /// A body of that length, of which so much is to come.
    Left(u64),
    /// A body up to the connection's end.
    Rest,
}

/// Reads a response's body.
#[derive(Debug)]
pub struct StreamedResponse {
    part: Part,
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
        StreamedResponse { part: Part::Head, raw: Vec::new() }
    }

    /// Takes bytes as they came and appends what they hold of the body to `body`, also what came before a fault.
    pub fn feed(&mut self, bytes: &[u8], body: &mut Vec<u8>) -> Result<(), BadResponse> {
        self.raw.extend_from_slice(bytes);
        loop {
            let used = match self.part {
                Part::Head => self.head()?,
                Part::Size => match httparse::parse_chunk_size(&self.raw) {
                    Ok(httparse::Status::Partial) if self.raw.len() > MAX_HEAD => {
                        return Err(BadResponse::TooLong);
                    }
                    Ok(httparse::Status::Partial) => None,
                    Ok(httparse::Status::Complete((_, 0))) => return Err(BadResponse::Over),
                    Ok(httparse::Status::Complete((used, size))) => {
                        self.part = Part::Data(size);
                        Some(used)
                    }
                    Err(_) => return Err(BadResponse::BadChunk),
                },
                Part::Data(left) => {
                    let (take, left) = self.hand_on(left, body);
                    self.part = if left == 0 { Part::DataEnd } else { Part::Data(left) };
                    (take > 0).then_some(take)
                }
                Part::DataEnd => match self.raw.get(..2) {
                    Some(b"\r\n") => {
                        self.part = Part::Size;
                        Some(2)
                    }
                    Some(_) => return Err(BadResponse::BadChunk),
                    None => None,
                },
                Part::Left(left) => {
                    let (take, left) = self.hand_on(left, body);
                    if left == 0 {
                        return Err(BadResponse::Over);
                    }
                    self.part = Part::Left(left);
                    (take > 0).then_some(take)
                }
                Part::Rest => {
                    let (take, _) = self.hand_on(u64::MAX, body);
                    (take > 0).then_some(take)
                }
            };
            match used {
                Some(used) => drop(self.raw.drain(..used)),
                None => return Ok(()),
            }
        }
    }

    /// The head is whole.
    pub fn is_begun(&self) -> bool {
        !matches!(self.part, Part::Head)
    }

    /// Appends at most so much; returns how much, and what is left to come.
    fn hand_on(&self, left: u64, body: &mut Vec<u8>) -> (usize, u64) {
        let take = self.raw.len().min(usize::try_from(left).unwrap_or(usize::MAX));
        body.extend_from_slice(&self.raw[..take]);
        (take, left - take as u64)
    }

    fn head(&mut self) -> Result<Option<usize>, BadResponse> {
        let mut headers = [httparse::EMPTY_HEADER; 32];
        let mut response = httparse::Response::new(&mut headers);
        let used = match response.parse(&self.raw)? {
            httparse::Status::Partial if self.raw.len() > MAX_HEAD => return Err(BadResponse::TooLong),
            httparse::Status::Partial => return Ok(None),
            httparse::Status::Complete(used) => used,
        };
        match response.code {
            Some(200) => {}
            code => return Err(BadResponse::Status(code.unwrap_or(0))),
        }
        let named = |name: &str| response.headers.iter().find(|h| h.name.eq_ignore_ascii_case(name));
        self.part = match (named("transfer-encoding"), named("content-length")) {
            (Some(coding), None) if coding.value.eq_ignore_ascii_case(b"chunked") => Part::Size,
            (None, Some(length)) => {
                let length = std::str::from_utf8(length.value).ok().and_then(|text| text.trim().parse().ok());
                Part::Left(length.ok_or(BadResponse::BadLength)?)
            }
            (None, None) => Part::Rest,
            _ => return Err(BadResponse::BadLength),
        };
        Ok(Some(used))
    }
}
