//! The requests that operators may send, and the responses to them.

use cottonnotch_reactor::http_server::{BadRequest, Request, response};

/// A request that is understood.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AdminRequest {
    /// Whether this process is ready to serve.
    Status,
    /// The metrics.
    Metrics,
    /// Maintenance begins: no more requests to this render node.
    Enter(String),
    /// Maintenance ends: this render node may serve again.
    Exit(String),
}

/// A response.
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

    /// 200: it is so, or was done.
    pub fn ok(body: impl Into<String>) -> Self {
        Self::new(200, body)
    }

    /// 404: what the request names is not known.
    pub fn not_found(body: impl Into<String>) -> Self {
        Self::new(404, body)
    }

    /// 500: it can't be done, for a reason of this proxy's.
    pub fn failed(body: impl Into<String>) -> Self {
        Self::new(500, body)
    }

    /// 503: not now.
    pub fn unavailable(body: impl Into<String>) -> Self {
        Self::new(503, body)
    }

    /// The response as it goes over the wire.
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
    /// Reads a request; a response if it is nothing of ours.
    pub fn parse(request: &Request) -> Result<AdminRequest, AdminResponse> {
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
#[path = "admin_request_tests.rs"]
mod tests;
