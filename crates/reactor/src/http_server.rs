//! HTTP/1.1 as a server sees it, without I/O: one request, fed as it arrives and split anywhere, and its response. httparse
//! parses the head; here are the bounds, and the body.

/// A request's head is not longer.
const MAX_HEAD: usize = 8 * 1024;
/// Nor has it more headers.
const MAX_HEADERS: usize = 64;
/// No body is longer.
pub const MAX_BODY: usize = 1024;

/// A complete request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Request {
    /// `GET`, `POST`, ..., as it came.
    pub method: String,
    /// The target's path, without a query.
    pub path: String,
    /// The body; empty where there is none.
    pub body: Vec<u8>,
}

/// Why a request is rejected; [`BadRequest::status`] is the response.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum BadRequest {
    /// It can't be parsed, or says two things at once.
    #[error("the call cannot be read")]
    Malformed,
    /// The head has no end within its bound.
    #[error("the head is longer than {MAX_HEAD} bytes or {MAX_HEADERS} headers")]
    HeadTooLong,
    /// The body would be longer than its bound.
    #[error("the body is longer than {MAX_BODY} bytes")]
    BodyTooLong,
    /// The body comes in a way that is not read here.
    #[error("a body must come whole, with its length")]
    Encoded,
    /// The client expects to be asked to go on (RFC 9110, section 10.1.1).
    #[error("no expectation is met")]
    Expectation,
    /// The request was not complete in its time.
    #[error("the call did not come in time")]
    Late,
}

impl BadRequest {
    /// The status code that says so (RFC 9110, section 15; RFC 6585, section 5).
    pub fn status(&self) -> u16 {
        match self {
            BadRequest::Malformed => 400,
            BadRequest::Late => 408,
            BadRequest::BodyTooLong => 413,
            BadRequest::Expectation => 417,
            BadRequest::HeadTooLong => 431,
            BadRequest::Encoded => 501,
        }
    }
}

/// A request's head.
#[derive(Debug)]
struct Head {
    method: String,
    path: String,
    length: usize,
}

/// Reads one request. After it, or after an error, nothing more is read.
#[derive(Debug, Default)]
pub struct RequestReader {
    raw: Vec<u8>,
    head: Option<Head>,
}

impl RequestReader {
    /// Takes bytes as they arrived; returns the request once it is complete. What follows it is ignored.
    pub fn feed(&mut self, bytes: &[u8]) -> Result<Option<Request>, BadRequest> {
        self.raw.extend_from_slice(bytes);
        if self.head.is_none() {
            let Some((used, head)) = parse_head(&self.raw)? else { return Ok(None) };
            self.raw.drain(..used);
            self.head = Some(head);
        }
        match &self.head {
            Some(head) if self.raw.len() >= head.length => {
                let body = self.raw[..head.length].to_vec();
                Ok(Some(Request { method: head.method.clone(), path: head.path.clone(), body }))
            }
            _ => Ok(None),
        }
    }
}

fn parse_head(raw: &[u8]) -> Result<Option<(usize, Head)>, BadRequest> {
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut request = httparse::Request::new(&mut headers);
    // Guards against a head that is read anew with each byte of it: past the bound nobody looks for its end.
    let searched = &raw[..raw.len().min(MAX_HEAD)];
    let used = match request.parse(searched) {
        Ok(httparse::Status::Complete(used)) => used,
        Ok(httparse::Status::Partial) if raw.len() >= MAX_HEAD => return Err(BadRequest::HeadTooLong),
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
            return Err(BadRequest::Encoded);
        } else if is("expect") {
            return Err(BadRequest::Expectation);
        } else if is("content-length") {
            let said = read_length(header.value)?;
            // Guards against two readers of one request that disagree on where it ends (RFC 9112, section 6.3).
            if length.is_some_and(|length| length != said) {
                return Err(BadRequest::Malformed);
            }
            length = Some(said);
        }
    }
    let path = target.split('?').next().unwrap_or_default().to_owned();
    Ok(Some((used, Head { method: method.to_owned(), path, length: length.unwrap_or(0) })))
}

fn read_length(value: &[u8]) -> Result<usize, BadRequest> {
    let text = std::str::from_utf8(value).map_err(|_| BadRequest::Malformed)?.trim_matches([' ', '\t']);
    if text.is_empty() || !text.bytes().all(|b| b.is_ascii_digit()) {
        return Err(BadRequest::Malformed);
    }
    // A length that no number holds is too long, too.
    let length = text.parse().unwrap_or(usize::MAX);
    if length > MAX_BODY { Err(BadRequest::BodyTooLong) } else { Ok(length) }
}

/// The complete response to a request: the connection ends after it.
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
