//! Bodies that end with their connection, and what they begin with.

use http::header::CONNECTION;
use http::{HeaderMap, HeaderValue};
use sardinepick_node::framing::Malformed;
use sardinepick_node::framing::remnant::Scan;

/// Scans a body in parts of a size.
fn scan(body: &str, is_event_stream: bool, part: usize) -> Result<(), Malformed> {
    let mut headers = HeaderMap::new();
    headers.insert(CONNECTION, HeaderValue::from_static("close"));
    let mut scan = Scan::new(&headers, is_event_stream);
    for data in body.as_bytes().chunks(part) {
        scan.push(data)?;
    }
    scan.finish()
}

fn assert_all(bodies: &[&str], is_event_stream: bool, expected: Result<(), Malformed>) {
    for body in bodies {
        for part in 1..=body.len().max(1) {
            assert_eq!(scan(body, is_event_stream, part), expected, "{body:?} in parts of {part}");
        }
    }
}

/// Guards against chunks, or the rest of a head, that pass for a body in whatever parts they arrive.
#[test]
fn scan_framing_lost() {
    let bodies = [
        "5\r\nhello\r\n0\r\n\r\n",
        "5;x=y\r\nhello\r\n0\r\n\r\n",
        "2\r\nhe\r\n3\r\nllo\r\n0\r\n\r\n",
        "A\r\n0123456789\r\n0\r\n\r\n",
        "0\r\n\r\n",
        "content-length: 5\r\n\r\nhello",
        "server: x\r\nContent-Length: 5\r\ndate: y\r\n\r\nhello",
        "transfer-encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n",
        "keep-alive: timeout=5\r\n\r\nhello",
        "ontent-length: 5\r\n\r\nhello",
        "content-type: text/plain\r\n\r\nhello",
    ];
    assert_all(&bodies, false, Err(Malformed::LostFraming));
    let streams = [
        "f\r\nid: 1\ndata: x\n\n\r\n",
        "1f\r\nid: 1\ndata: x\n\n",
        "content-length: 5\r\n\r\nid: 1\ndata: x\n\n",
    ];
    assert_all(&streams, true, Err(Malformed::LostFraming));
}

/// Guards against bodies of sound runners that are taken for framing.
#[test]
fn scan_sound_body_kept() {
    let bodies = [
        "",
        "hello",
        "12",
        "12\r\n",
        "0\r\n",
        "5\r\nhello",
        "5\r\nhello world\r\n",
        "1\r\n2\r\n3\r\n",
        "2\r\nhe\r\n3\r\nl",
        "1\n2\n3\n",
        "5\r\nhello\r\nworld\r\n",
        "0\r\n\r\nhello",
        "subject: x\r\n\r\nhello",
        "connection lost\r\n\r\nhello",
        "connection: what the head has, too\r\n\r\nhello",
        "id: 1\ndata: x\n\n",
    ];
    assert_all(&bodies, false, Ok(()));
    let streams = ["id: 1\ndata: x\n\n", ": comment\n\n", "data: 12\n\n", "\n\n"];
    assert_all(&streams, true, Ok(()));
}
