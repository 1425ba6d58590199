//! Parsing of HTTP requests: framing, status codes of errors, and input that is split at any byte.
#![allow(
    clippy::unwrap_used,
    clippy::expect_used,
    clippy::too_many_lines,
    reason = "a test panics, and reads from top to bottom"
)]

use cottonnotch_reactor::http_server::{BadRequest, MAX_BODY, Request, RequestReader, response};
use proptest::prelude::*;

fn read(bytes: &[u8]) -> Result<Option<Request>, BadRequest> {
    RequestReader::default().feed(bytes)
}

fn request(method: &str, path: &str, body: &[u8]) -> Request {
    Request { method: method.to_owned(), path: path.to_owned(), body: body.to_vec() }
}

const POST: &[u8] =
    b"POST /maintenance/enter?who=me HTTP/1.1\r\nHost: x\r\ncontent-LENGTH: 5\r\n\r\ns-1a\nmore";

#[test]
fn request_ends_at_its_length() {
    assert_eq!(read(POST), Ok(Some(request("POST", "/maintenance/enter", b"s-1a\n"))));
    let whole = POST.len() - b"more".len();
    assert_eq!(read(&POST[..whole]), Ok(Some(request("POST", "/maintenance/enter", b"s-1a\n"))));
    assert_eq!(read(&POST[..whole - 1]), Ok(None));
    assert_eq!(read(b"GET /status HTTP/1.0\n\n"), Ok(Some(request("GET", "/status", b""))));
}

#[test]
fn maps_errors_to_status_codes() {
    let post = |headers: &str| format!("POST / HTTP/1.1\r\n{headers}\r\n\r\n").into_bytes();
    for (bytes, status) in [
        (b"\x16\x03\x01\x02\x00\x01".to_vec(), 400),
        (b"GET /status\r\n\r\n".to_vec(), 400),
        (post("Content-Length: five"), 400),
        (post("Content-Length: -1"), 400),
        (post("Content-Length: "), 400),
        (post("Content-Length: 1\r\nContent-Length: 2"), 400),
        (post(&format!("Content-Length: {}", MAX_BODY + 1)), 413),
        (post("Content-Length: 99999999999999999999999"), 413),
        (post("Expect: 100-continue\r\nContent-Length: 1"), 417),
        (post("Transfer-Encoding: chunked"), 501),
        (post(&"A: b\r\n".repeat(100)), 431),
        ([b"GET /".to_vec(), vec![b'x'; 9000]].concat(), 431),
    ] {
        let bad = read(&bytes).expect_err("a malformed or unsupported request");
        assert_eq!(bad.status(), status, "{:?}", String::from_utf8_lossy(&bytes[..bytes.len().min(80)]));
    }
}

#[test]
fn response_has_length_and_closes() {
    let text = String::from_utf8(response(404, None, "no\n")).unwrap();
    assert!(text.starts_with("HTTP/1.1 404 Not Found\r\n"), "{text}");
    assert!(
        text.contains("\r\nContent-Length: 3\r\n") && text.contains("\r\nConnection: close\r\n"),
        "{text}"
    );
    assert!(text.ends_with("\r\n\r\nno\n"), "{text}");
}

/// Feeds the bytes to a reader in pieces that end at the given cuts, and returns its result.
fn in_pieces(bytes: &[u8], cuts: &[prop::sample::Index]) -> Result<Option<Request>, BadRequest> {
    let mut cuts: Vec<usize> = cuts.iter().map(|cut| cut.index(bytes.len() + 1)).collect();
    cuts.push(bytes.len());
    cuts.sort_unstable();
    let (mut reader, mut from) = (RequestReader::default(), 0);
    for to in cuts {
        match reader.feed(&bytes[from..to]) {
            Ok(None) => from = to,
            done => return done,
        }
    }
    Ok(None)
}

proptest! {
    #[test]
    fn any_split_gives_the_same_request(cuts in prop::collection::vec(any::<prop::sample::Index>(), 0..20)) {
        prop_assert_eq!(in_pieces(POST, &cuts), read(POST));
    }

    #[test]
    fn arbitrary_bytes_are_split_independent(
        bytes in prop::collection::vec(prop_oneof![any::<u8>(), Just(b'\r'), Just(b'\n'), Just(b' ')], 0..300),
        cuts in prop::collection::vec(any::<prop::sample::Index>(), 0..5),
    ) {
        let whole = read(&bytes);
        let split = in_pieces(&bytes, &cuts);
        prop_assert_eq!(split.is_err(), whole.is_err());
        if let (Ok(split), Ok(whole)) = (split, whole) {
            prop_assert_eq!(split, whole);
        }
    }
}
