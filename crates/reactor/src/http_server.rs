//! The server side of HTTP/1.1, without I/O: an incremental parser for one request, whose input may be split at any byte, and
//! the serialization of its response. httparse parses the head; this module enforces the size limits and reads the body.

/// Maximum length of a request head, in bytes.
const MAX_HEAD: usize = 8 * 1024;
/// Maximum number of headers in a request.
const MAX_HEADERS: usize = 64;
/// Maximum length of a request body, in bytes.
pub const MAX_BODY: usize = 1024;

/// A complete request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Request {
    /// The method as received, for example `GET` or `POST`.
    pub method: String,
    /// The path of the request target, without the query.
    pub path: String,
    /// The body; empty if the request has none.
    pub body: Vec<u8>,
}

/// The reason why a request is rejected. [`BadRequest::status`] is the status code of the response.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum BadRequest {
    /// The request cannot be parsed, or has contradictory Content-Length headers.
    #[error("the call cannot be read")]
    Malformed,
    /// The head exceeds `MAX_HEAD` or `MAX_HEADERS`.
    #[error("the head is longer than {MAX_HEAD} bytes or {MAX_HEADERS} headers")]
    HeadTooLong,
    /// The Content-Length exceeds [`MAX_BODY`].
    #[error("the body is longer than {MAX_BODY} bytes")]
    BodyTooLong,
    /// The request has a Transfer-Encoding, which is not supported.
    #[error("a body must come whole, with its length")]
    UnsupportedTransferEncoding,
    /// The request has an Expect header (RFC 9110, section 10.1.1), which is not supported.
    #[error("no expectation is met")]
    UnsupportedExpect,
    /// The request was not complete before the time-out.
    #[error("the call did not come in time")]
    Late,
}

impl BadRequest {
    /// Returns the status code for this error (RFC 9110, section 15; RFC 6585, section 5).
    pub fn status(&self) -> u16 {
        match self {
            BadRequest::Malformed => 400,
            BadRequest::Late => 408,
            BadRequest::BodyTooLong => 413,
            BadRequest::UnsupportedExpect => 417,
            BadRequest::HeadTooLong => 431,
            BadRequest::UnsupportedTransferEncoding => 501,
        }
    }
}

/// The parsed parts of a request head that are used.
#[derive(Debug)]
struct Head {
    method: String,
    path: String,
    length: usize,
}

/// Parses one request. The reader must not be fed after it has returned a request or an error.
#[derive(Debug, Default)]
pub struct RequestReader {
    buffer: Vec<u8>,
    head: Option<Head>,
}

impl RequestReader {
    /// Parses received bytes and returns the request once it is complete. Bytes after the request are ignored.
    pub fn feed(&mut self, bytes: &[u8]) -> Result<Option<Request>, BadRequest> {
        self.buffer.extend_from_slice(bytes);
        if self.head.is_none() {
            let Some((used, head)) = parse_head(&self.buffer)? else { return Ok(None) };
            self.buffer.drain(..used);
            self.head = Some(head);
        }
        match &self.head {
            Some(head) if self.buffer.len() >= head.length => {
                let body = self.buffer[..head.length].to_vec();
                Ok(Some(Request { method: head.method.clone(), path: head.path.clone(), body }))
            }
            _ => Ok(None),
        }
    }
}

fn parse_head(buffer: &[u8]) -> Result<Option<(usize, Head)>, BadRequest> {
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut request = httparse::Request::new(&mut headers);
    // Each call parses the head from its start. Limiting the parsed length bounds the cost of a head that arrives
    // byte by byte.
    let searched = &buffer[..buffer.len().min(MAX_HEAD)];
    let used = match request.parse(searched) {
        Ok(httparse::Status::Complete(used)) => used,
        Ok(httparse::Status::Partial) if buffer.len() >= MAX_HEAD => return Err(BadRequest::HeadTooLong),
        Ok(httparse::Status::Partial) => return Ok(None),
        Err(httparse::Error::TooManyHeaders) => return Err(BadRequest::HeadTooLong),
        Err(_) => return Err(BadRequest::Malformed),
    };
    let (Some(method), Some(target)) = (request.method, request.path) else {
        return Err(BadRequest::Malformed);
    };
    let mut length = None;
    for header in request.headers.iter() {
        let is = |name: &str| header.name.eq_ignore_ascii_case(name);
        if is("transfer-encoding") {
            return Err(BadRequest::UnsupportedTransferEncoding);
        } else if is("expect") {
            return Err(BadRequest::UnsupportedExpect);
        } else if is("content-length") {
            let parsed = parse_content_length(header.value)?;
            // With two different lengths, two parsers could disagree on where the request ends (RFC 9112, section 6.3).
            if length.is_some_and(|length| length != parsed) {
                return Err(BadRequest::Malformed);
            }
            length = Some(parsed);
        }
    }
    let path = target.split('?').next().unwrap_or_default().to_owned();
    Ok(Some((used, Head { method: method.to_owned(), path, length: length.unwrap_or(0) })))
}

fn parse_content_length(value: &[u8]) -> Result<usize, BadRequest> {
    let text = std::str::from_utf8(value).map_err(|_| BadRequest::Malformed)?.trim_matches([' ', '\t']);
    if text.is_empty() || !text.bytes().all(|b| b.is_ascii_digit()) {
        return Err(BadRequest::Malformed);
    }
    // A length that overflows `usize` is too long as well.
    let length = text.parse().unwrap_or(usize::MAX);
    if length > MAX_BODY { Err(BadRequest::BodyTooLong) } else { Ok(length) }
}

/// Serializes a complete response, after which the server closes the connection.
pub fn response(status: u16, allow: Option<&str>, body: &str) -> Vec<u8> {
    let reason = match status {
        200 => "OK",
        400 => "Bad Request",
        404 => "Not Found",
        405 => "Method Not Allowed",
        408 => "Request Timeout",
        413 => "Content Too Large",
        417 => "Expectation Failed",
        431 => "Request Header Fields Too Large",
        500 => "Internal Server Error",
        501 => "Not Implemented",
        503 => "Service Unavailable",
        _ => "",
    };
    let allow = allow.map_or(String::new(), |methods| format!("Allow: {methods}\r\n"));
    let length = body.len();
    format!(
        "HTTP/1.1 {status} {reason}\r\nContent-Type: text/plain; charset=utf-8\r\nContent-Length: {length}\r\n\
         {allow}Cache-Control: no-store\r\nConnection: close\r\n\r\n{body}"
    )
    .into_bytes()
}
