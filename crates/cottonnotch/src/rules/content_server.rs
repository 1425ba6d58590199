//! Gives contents to other members: `GET /content/HEX`. Whoever fetches one checks its digest, so no proof goes with it.

use super::version_content::{Library, hex};
use cottonnotch_consensus::ContentHash;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use tiny_http::{Method, Response, Server};

/// The other end of [`serve`].
#[derive(Clone)]
pub struct Serving(Arc<Server>);

impl Serving {
    /// Opens the address, and serves on a thread of its own until it is told to stop.
    pub fn start(listen: SocketAddr, library: Library) -> io::Result<Self> {
        let server = Server::http(listen).map_err(|error| match error.downcast::<io::Error>() {
            Ok(error) => *error,
            Err(error) => io::Error::other(error),
        })?;
        let server = Arc::new(server);
        let serving = Serving(Arc::clone(&server));
        std::thread::Builder::new().name("rules-contents".into()).spawn(move || serve(&server, &library))?;
        Ok(serving)
    }

    /// Stops it.
    pub fn stop(&self) {
        self.0.unblock();
    }
}

fn serve(server: &Server, library: &Library) {
    // Ends when the server is unblocked.
    while let Ok(request) = server.recv() {
        let wanted = request.url().strip_prefix("/content/").and_then(digest);
        let found = wanted.filter(|_| *request.method() == Method::Get).and_then(|hash| library.get(&hash));
        // Who asked may be gone.
        let _ = match found {
            Some(compiled) => request.respond(Response::from_data(compiled.bytes.to_vec())),
            None => request.respond(Response::empty(404)),
        };
    }
}

/// Where a member has that content.
pub fn url(member: SocketAddr, hash: &ContentHash) -> String {
    format!("http://{member}/content/{}", hex(hash))
}

fn digest(text: &str) -> Option<ContentHash> {
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
