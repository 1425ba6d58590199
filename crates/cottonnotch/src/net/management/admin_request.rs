//! What operators may call, and what they may be answered.

use cottonnotch_reactor::http_server::{BadRequest, Request, response};

/// A call that is understood.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AdminRequest {
    /// Whether this process is ready to serve.
    Status,
    /// The figures.
    Metrics,
    /// Nothing more to this render node.
    Enter(String),
    /// This render node may serve again.
    Exit(String),
}

/// What a call is answered.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AdminResponse {
    status: u16,
    allow: Option<&'static str>,
    body: String,
}

impl AdminResponse {
    fn new(status: u16, body: impl Into<String>) -> Self {
        AdminResponse { status, allow: None, body: body.into() }
    }

    /// It is so, or was done.
    pub fn ok(body: impl Into<String>) -> Self {
        Self::new(200, body)
    }

    /// What the call names is not known.
    pub fn not_found(body: impl Into<String>) -> Self {
        Self::new(404, body)
    }

    /// It can't be done, for a reason of this proxy's.
    pub fn failed(body: impl Into<String>) -> Self {
        Self::new(500, body)
    }

    /// Not now.
    pub fn unavailable(body: impl Into<String>) -> Self {
        Self::new(503, body)
    }

    /// The answer as it goes over the wire.
    pub fn encode(&self) -> Vec<u8> {
        response(self.status, self.allow, &self.body)
    }
}

impl From<BadRequest> for AdminResponse {
    fn from(bad: BadRequest) -> Self {
        AdminResponse::new(bad.status(), format!("{bad}\n"))
    }
}

impl AdminRequest {
    /// What a request calls for; an answer if it is nothing of ours.
    pub fn read(request: &Request) -> Result<AdminRequest, AdminResponse> {
        let method = request.method.as_str();
        let only = |wanted: &'static str| {
            let body = format!("{} takes {wanted} only\n", request.path);
            if method == wanted {
                Ok(())
            } else {
                Err(AdminResponse { allow: Some(wanted), ..AdminResponse::new(405, body) })
            }
        };
        match request.path.as_str() {
            "/status" => only("GET").map(|()| AdminRequest::Status),
            "/status/metrics" => only("GET").map(|()| AdminRequest::Metrics),
            "/maintenance/enter" => only("POST").and_then(|()| id(&request.body)).map(AdminRequest::Enter),
            "/maintenance/exit" => only("POST").and_then(|()| id(&request.body)).map(AdminRequest::Exit),
            _ => Err(AdminResponse::not_found("there is nothing of that name\n")),
        }
    }
}

/// The body as the id of a render node. Guards against a line end that a tool adds.
fn id(body: &[u8]) -> Result<String, AdminResponse> {
    let id = std::str::from_utf8(body).map(str::trim).unwrap_or_default();
    let is_id = !id.is_empty() && id.bytes().all(|b| b.is_ascii_graphic());
    if is_id {
        Ok(id.to_owned())
    } else {
        Err(AdminResponse::new(400, "the body must be the id of one render node\n"))
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn read(method: &str, path: &str, body: &[u8]) -> Result<AdminRequest, u16> {
        let request = Request { method: method.to_owned(), path: path.to_owned(), body: body.to_vec() };
        AdminRequest::read(&request).map_err(|answer| answer.status)
    }

    #[test]
    fn calls_are_told_apart_and_the_rest_gets_its_code() {
        assert_eq!(read("GET", "/status", b""), Ok(AdminRequest::Status));
        assert_eq!(read("GET", "/status/metrics", b""), Ok(AdminRequest::Metrics));
        assert_eq!(read("POST", "/maintenance/enter", b"s-1\r\n"), Ok(AdminRequest::Enter("s-1".to_owned())));
        assert_eq!(read("POST", "/maintenance/exit", b" s-1"), Ok(AdminRequest::Exit("s-1".to_owned())));
        assert_eq!(read("GET", "/maintenance/enter", b"s-1"), Err(405));
        for body in [&b""[..], b" \n", b"a b", b"\xff", "\u{e9}".as_bytes()] {
            assert_eq!(read("POST", "/maintenance/enter", body), Err(400), "{body:?}");
        }
        assert_eq!(read("GET", "/status/", b""), Err(404));
        assert_eq!(read("POST", "/status", b""), Err(405));
    }

    #[test]
    fn a_wrong_method_is_told_the_right_one() {
        let request = Request { method: "PUT".to_owned(), path: "/status".to_owned(), body: Vec::new() };
        let answer = String::from_utf8(AdminRequest::read(&request).unwrap_err().encode()).unwrap();
        assert!(answer.starts_with("HTTP/1.1 405 Method Not Allowed\r\n"), "{answer}");
        assert!(answer.contains("\r\nAllow: GET\r\n"), "{answer}");
    }
}
