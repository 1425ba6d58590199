//! The requests of operators, and the responses to them.

use cottonnotch_reactor::http_server::{BadRequest, Request, response};

/// A valid request of an operator.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AdminRequest {
    /// Asks whether this process is ready to serve.
    Status,
    /// Asks for the metrics.
    Metrics,
    /// Starts the maintenance of the render node with this id, which then gets no more requests.
    Enter(String),
    /// Ends the maintenance of the render node with this id, which may then serve again.
    Exit(String),
}

/// The response to an operator's request.
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

    /// Creates a response with status 200: the answer to a query, or the confirmation of a change.
    pub fn ok(body: impl Into<String>) -> Self {
        Self::new(200, body)
    }

    /// Creates a response with status 404: the request names an unknown path or render node.
    pub fn not_found(body: impl Into<String>) -> Self {
        Self::new(404, body)
    }

    /// Creates a response with status 500: the proxy failed to execute the request.
    pub fn failed(body: impl Into<String>) -> Self {
        Self::new(500, body)
    }

    /// Creates a response with status 503: the request cannot be served now.
    pub fn unavailable(body: impl Into<String>) -> Self {
        Self::new(503, body)
    }

    /// Encodes the response in its wire format.
    pub fn encode(&self) -> Vec<u8> {
        response(self.status, self.allow, &self.body)
    }
}

impl From<BadRequest> for AdminResponse {
    fn from(error: BadRequest) -> Self {
        AdminResponse::new(error.status(), format!("{error}\n"))
    }
}

impl AdminRequest {
    /// Parses an HTTP request; if it is not a valid request of an operator, returns the response that rejects it.
    pub fn parse(request: &Request) -> Result<AdminRequest, AdminResponse> {
        let method = request.method.as_str();
        let require_method = |allowed: &'static str| {
            let body = format!("{} takes {allowed} only\n", request.path);
            if method == allowed {
                Ok(())
            } else {
                Err(AdminResponse { allow: Some(allowed), ..AdminResponse::new(405, body) })
            }
        };
        match request.path.as_str() {
            "/status" => require_method("GET").map(|()| AdminRequest::Status),
            "/status/metrics" => require_method("GET").map(|()| AdminRequest::Metrics),
            "/maintenance/enter" => {
                require_method("POST").and_then(|()| parse_id(&request.body)).map(AdminRequest::Enter)
            }
            "/maintenance/exit" => {
                require_method("POST").and_then(|()| parse_id(&request.body)).map(AdminRequest::Exit)
            }
            _ => Err(AdminResponse::not_found("there is nothing of that name\n")),
        }
    }
}

/// Parses the body as the id of a render node. Surrounding white space is removed, because some tools add a line end.
fn parse_id(body: &[u8]) -> Result<String, AdminResponse> {
    let id = std::str::from_utf8(body).map(str::trim).unwrap_or_default();
    let is_valid = !id.is_empty() && id.bytes().all(|b| b.is_ascii_graphic());
    if is_valid {
        Ok(id.to_owned())
    } else {
        Err(AdminResponse::new(400, "the body must be the id of one render node\n"))
    }
}

#[cfg(test)]
#[path = "admin_request_tests.rs"]
mod tests;
