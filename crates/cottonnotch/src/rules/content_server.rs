//! The HTTP server that sends contents to other members: `GET /content/HEX`. The client checks the hash of a content, so the
//! response needs no authentication.

use super::version_content::{ContentCache, hex};
use cottonnotch_consensus::ContentHash;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use tiny_http::{Method, Response, Server};

/// The server, which runs on a separate thread.
#[derive(Clone)]
pub struct ContentServer(Arc<Server>);

impl ContentServer {
    /// Binds the address and starts the thread, which serves until [`Self::stop`].
    pub fn start(listen: SocketAddr, contents: ContentCache) -> io::Result<Self> {
        let server = Server::http(listen).map_err(|error| match error.downcast::<io::Error>() {
            Ok(error) => *error,
            Err(error) => io::Error::other(error),
        })?;
        let server = Arc::new(server);
        let handle = ContentServer(Arc::clone(&server));
        std::thread::Builder::new().name("rules-contents".into()).spawn(move || serve(&server, &contents))?;
        Ok(handle)
    }

    /// Stops the server.
    pub fn stop(&self) {
        self.0.unblock();
    }
}

fn serve(server: &Server, contents: &ContentCache) {
    // `recv` fails once the server is unblocked.
    while let Ok(request) = server.recv() {
        let requested = request.url().strip_prefix("/content/").and_then(parse_hash);
        let found =
            requested.filter(|_| *request.method() == Method::Get).and_then(|hash| contents.get(&hash));
        // The client may have closed the connection; nobody needs the response then.
        let _ = match found {
            Some(content) => request.respond(Response::from_data(content.bytes.to_vec())),
            None => request.respond(Response::empty(404)),
        };
    }
}

/// The URL of a content on a member's server.
pub fn content_url(member: SocketAddr, hash: &ContentHash) -> String {
    format!("http://{member}/content/{}", hex(hash))
}

fn parse_hash(text: &str) -> Option<ContentHash> {
    let mut hash = ContentHash::default();
    if text.len() != 2 * hash.len() || !text.bytes().all(|b| b.is_ascii_hexdigit()) {
        return None;
    }
    for (i, byte) in hash.iter_mut().enumerate() {
        *byte = u8::from_str_radix(&text[2 * i..2 * i + 2], 16).ok()?;
    }
    Some(hash)
}

#[cfg(test)]
#[path = "content_server_tests.rs"]
mod tests;
