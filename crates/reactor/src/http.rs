//! A streamed HTTP/1.1 response, fed as it comes: the head by httparse, then the lines of a chunked body.
//! The body may be split anywhere, within a chunk's size line too.

/// A response head is not longer.
const MAX_HEAD: usize = 16 * 1024;
/// Nor is one line of the body: a list of a few thousand members.
const MAX_BODY_LINE: usize = 4 * 1024 * 1024;

/// Why the response cannot be read on.
#[derive(Debug, thiserror::Error)]
pub enum BadResponse {
    /// The head can't be parsed.
    #[error("the response cannot be read: {0}")]
    Malformed(#[from] httparse::Error),
    /// The status is not 200.
    #[error("the response is answered {0}")]
    Status(u16),
    /// The body does not come in chunks.
    #[error("the response is not chunked")]
    NotChunked,
    /// The chunking is broken.
    #[error("a chunk's size or end cannot be read")]
    BadChunk,
    /// More came than is kept.
    #[error("the response's head or line is too long")]
    TooLong,
    /// The last chunk has come.
    #[error("the response has ended")]
    Over,
}

#[derive(Debug)]
enum Part {
    Head,
    Size,
    Data(u64),
    DataEnd,
}

/// Reads a response whose body is lines.
#[derive(Debug)]
pub struct LineResponse {
    part: Part,
    raw: Vec<u8>,
    line: Vec<u8>,
}

impl Default for LineResponse {
    fn default() -> Self {
        Self::new()
    }
}

impl LineResponse {
    /// Before the first byte.
    pub fn new() -> Self {
        LineResponse { part: Part::Head, raw: Vec::new(), line: Vec::new() }
    }

    /// Takes bytes as they came and appends the body's whole lines, without their ends, to `lines`.
    pub fn feed(&mut self, bytes: &[u8], lines: &mut Vec<Vec<u8>>) -> Result<(), BadResponse> {
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
                    let take = self.raw.len().min(usize::try_from(left).unwrap_or(usize::MAX));
                    split_lines(&mut self.line, &self.raw[..take], lines);
                    if self.line.len() > MAX_BODY_LINE {
                        return Err(BadResponse::TooLong);
                    }
                    let left = left - take as u64;
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
            };
            match used {
                Some(used) => drop(self.raw.drain(..used)),
                None => return Ok(()),
            }
        }
    }

    fn head(&mut self) -> Result<Option<usize>, BadResponse> {
        let mut headers = [httparse::EMPTY_HEADER; 32];
        let mut response = httparse::Response::new(&mut headers);
        match response.parse(&self.raw)? {
            httparse::Status::Partial if self.raw.len() > MAX_HEAD => Err(BadResponse::TooLong),
            httparse::Status::Partial => Ok(None),
            httparse::Status::Complete(used) => {
                match response.code {
                    Some(200) => {}
                    code => return Err(BadResponse::Status(code.unwrap_or(0))),
                }
                let chunked = response.headers.iter().any(|h| {
                    h.name.eq_ignore_ascii_case("transfer-encoding")
                        && h.value.eq_ignore_ascii_case(b"chunked")
                });
                if !chunked {
                    return Err(BadResponse::NotChunked);
                }
                self.part = Part::Size;
                Ok(Some(used))
            }
        }
    }
}

fn split_lines(partial: &mut Vec<u8>, bytes: &[u8], lines: &mut Vec<Vec<u8>>) {
    for piece in bytes.split_inclusive(|b| *b == b'\n') {
        partial.extend_from_slice(piece);
        if partial.ends_with(b"\n") {
            lines.push(crate::line::trim_end(partial).to_vec());
            partial.clear();
        }
    }
}
