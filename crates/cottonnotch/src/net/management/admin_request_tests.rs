use super::*;

fn read(method: &str, path: &str, body: &[u8]) -> Result<AdminRequest, u16> {
    let request = Request { method: method.to_owned(), path: path.to_owned(), body: body.to_vec() };
    AdminRequest::parse(&request).map_err(|answer| answer.status)
}

#[test]
fn parses_requests_and_rejects_others_with_their_status() {
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
fn names_the_allowed_method() {
    let request = Request { method: "PUT".to_owned(), path: "/status".to_owned(), body: Vec::new() };
    let answer = String::from_utf8(AdminRequest::parse(&request).unwrap_err().encode()).unwrap();
    assert!(answer.starts_with("HTTP/1.1 405 Method Not Allowed\r\n"), "{answer}");
    assert!(answer.contains("\r\nAllow: GET\r\n"), "{answer}");
}
