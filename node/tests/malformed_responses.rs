//! Runners whose responses are malformed HTTP, or end in a way that leaves open whether they are whole.

use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use http::StatusCode;
use rand::rngs::StdRng;
use rand::{RngExt as _, SeedableRng as _};
use sardinepick_testutils::cluster::wait_until;
use sardinepick_testutils::fleet::caller::{Reply, RequestSpec};
use sardinepick_testutils::fleet::deployment::{Deployment, configuration};
use sardinepick_testutils::fleet::network::Fault;
use sardinepick_testutils::fleet::runner::event;
use sardinepick_testutils::fleet::spoiler::{End, Raw, Spoil, Spoiler};
use serde_json::json;

const BODY: &str = "twelve bytes";
const CLOSE: &str = "connection: close\r\n";
/// How often a request is sent until it reaches the runner, which a node avoids after a failure.
const MAX_TRIES: usize = 50;
const UPLOAD_BYTES: usize = 4 << 20;

/// A response, and the body of its runner.
#[derive(Clone, Debug)]
struct Case {
    name: String,
    response: String,
    body: String,
    end: End,
}

/// The paths of one kind.
#[derive(Clone, Copy, Debug)]
enum Kind {
    Plain,
    Stream,
}

impl Kind {
    fn paths(self) -> [&'static str; 2] {
        match self {
            Kind::Plain => ["/eggs/a", "/board/a"],
            Kind::Stream => ["/tally/a", "/count/a"],
        }
    }

    fn body(self) -> String {
        match self {
            Kind::Plain => BODY.to_owned(),
            Kind::Stream => (1..=3).map(event).collect(),
        }
    }

    fn content_type(self) -> &'static str {
        match self {
            Kind::Plain => "",
            Kind::Stream => "content-type: text/event-stream\r\n",
        }
    }

    /// A case whose head has a status line and these further fields.
    fn case(self, name: &str, status_line: &str, fields: &str, content: &str, end: End) -> Case {
        let content_type = self.content_type();
        let named = "request-id: {id}\r\nresponse-signature: s\r\n";
        Case {
            name: name.to_owned(),
            response: format!("{status_line}\r\n{named}{content_type}{fields}\r\n{content}"),
            body: self.body(),
            end,
        }
    }

    /// A case whose head begins as that of a success.
    fn success(self, fields: &str, content: &str, end: End) -> Case {
        self.case(fields.trim_end(), "HTTP/1.1 200 OK", fields, content, end)
    }

    /// The body in one chunk.
    fn chunked(self) -> String {
        let body = self.body();
        format!("{:x}\r\n{body}\r\n0\r\n\r\n", body.len())
    }

    /// The body in a chunk for each of its lines.
    fn chunked_by_line(self) -> String {
        let body = self.body();
        let chunks = body.split_inclusive('\n').map(|l| format!("{:x}\r\n{l}\r\n", l.len()));
        format!("{}0\r\n\r\n", chunks.collect::<String>())
    }

    fn length_field(self) -> String {
        format!("content-length: {}\r\n", self.body().len())
    }
}

/// Responses from whose heads the end of the body cannot be told.
fn unknown_framing(kind: Kind) -> Vec<Case> {
    let codings = [
        "transfer-encoding: chunkex\r\n",
        "transfer-encoding: xhunked\r\n",
        "transfer-encoding: chunke\r\n",
        "transfer-encoding: identity\r\n",
        "transfer-encoding: chunked, identity\r\n",
        "transfer-encoding: chunked, chunked\r\n",
        "transfer-encoding: gzip, chunked\r\n",
        "transfer-encoding: \r\n",
        "transfer-encoding: \"chunked\"\r\n",
        "transfer-encoding: chunked;q=1\r\n",
        "transfer-encoding: chunked\r\ntransfer-encoding: identity\r\n",
        "transfer-encoding: chunked\r\ntransfer-encoding: chunked\r\n",
    ];
    let codings = codings.map(|field| kind.success(field, &kind.chunked(), End::Close));
    let both = format!("{}transfer-encoding: chunked\r\n", kind.length_field());
    let lengths = ["1x", "-12", "+12", "", "0x0c", "1 2", "12;", "99999999999999999999999"];
    let lengths = lengths.map(|value| {
        kind.success(&format!("content-length: {value}\r\n"), &kind.body(), End::Close)
    });
    let two = format!("{}content-length: 11\r\n", kind.length_field());
    let cases = codings.into_iter().chain(lengths);
    let both = kind.success(&both, &kind.chunked(), End::Close);
    cases.chain([both, kind.success(&two, &kind.body(), End::Close)]).collect()
}

/// Responses whose field that frames the body is lost, so that the end of the connection seems to
/// end it.
fn lost_framing(kind: Kind) -> Vec<Case> {
    let mut cases = Vec::new();
    for content in [kind.chunked(), kind.chunked_by_line()] {
        for fields in ["", CLOSE, "transfer-encodinx: chunked\r\n", "ransfer-encoding: chunked\r\n"]
        {
            cases.push(kind.success(fields, &content, End::Close));
        }
    }
    let empty_lines = [
        format!("\r\n{}", kind.length_field()),
        format!("\r\n{CLOSE}{}", kind.length_field()),
        format!("{CLOSE}\r\nserver: x\r\n{}date: y\r\n", kind.length_field()),
    ];
    cases.extend(empty_lines.map(|fields| kind.success(&fields, &kind.body(), End::Close)));
    let coded = "\r\ntransfer-encoding: chunked\r\n";
    cases.push(kind.success(coded, &kind.chunked(), End::Close));
    cases
}

/// Responses that go on at once where their length says that they end.
fn wrong_length(kind: Kind) -> Vec<Case> {
    let mut cases = Vec::new();
    for value in ["0", "1", "02", "11"] {
        for (close, end) in [("", End::Keep), (CLOSE, End::Keep), (CLOSE, End::Close)] {
            let fields = format!("{close}content-length: {value}\r\n");
            cases.push(kind.success(&fields, &kind.body(), end));
        }
    }
    cases
}

/// Chunked responses whose chunks are malformed.
fn malformed_chunks(kind: Kind) -> Vec<Case> {
    let (body, length) = (kind.body(), kind.body().len());
    let chunks = [
        format!("x\r\n{body}\r\n0\r\n\r\n"),
        format!("-{length:x}\r\n{body}\r\n0\r\n\r\n"),
        format!("{:x}\r\n{body}\r\n0\r\n\r\n", length + 1),
        format!("{:x}\r\n{body}\r\n0\r\n\r\n", length - 1),
        format!("ffffffffffffffffff\r\n{body}\r\n0\r\n\r\n"),
        format!("\r\n{body}\r\n0\r\n\r\n"),
        format!("0\r\n{body}\r\n0\r\n\r\n"),
        format!("{length:x}\r\n{body}\r\n"),
        format!("{length:x}\r\n{body}\r\n0\r\n"),
        format!("{length:x}\r\n{body}\r\n0\r\nno field\r\n\r\n"),
        format!("{length:x}\r\n{body}\r\n0\r\nx: y\r\n\r\n"),
    ];
    let fields = "transfer-encoding: chunked\r\n";
    let case = |content: &String| Case {
        name: format!("{content:?}"),
        ..kind.success(fields, content, End::Close)
    };
    chunks.iter().map(case).collect()
}

/// Responses whose status is none, or contradicts the rest of the head.
fn wrong_status(kind: Kind) -> Vec<Case> {
    let length = kind.length_field();
    let lines = [
        "HTTP/1.1 000 OK",
        "HTTP/1.1 099 OK",
        "HTTP/1.1 20 OK",
        "HTTP/1.1 2000 OK",
        "HTTP/1.1 2x0 OK",
        "HTTP/1.1",
        "HTTP/1.1 600 OK",
        "HTTP/1.1 999 OK",
        "HTTP/1.1 101 Switching Protocols",
        "HTTP/0.9 200 OK",
        "HTTP/1.2 200 OK",
        "HTTP/2.0 200 OK",
        "HTTX/1.1 200 OK",
        "HTTP/1.1 200 O\u{1}K",
        "HTTP/1.1 204 No Content",
        "HTTP/1.1 205 Reset Content",
        "HTTP/1.1 304 Not Modified",
    ];
    let mut cases: Vec<Case> =
        lines.map(|line| kind.case(line, line, &length, &kind.body(), End::Close)).into();
    let coding = "transfer-encoding: chunked\r\n";
    let line = "HTTP/1.1 204 No Content";
    cases.push(kind.case("204 chunked", line, coding, &kind.chunked(), End::Close));
    cases
}

/// Successes without the field by which their runner proves that they are its own.
fn unsigned(kind: Kind) -> Vec<Case> {
    let signed = kind.success(&kind.length_field(), &kind.body(), End::Keep);
    let fields =
        ["", "response-signature: \r\n", "response-signatur: s\r\n", "response-signaturf: s\r\n"];
    let case = |field: &str| Case {
        name: field.to_owned(),
        response: signed.response.replace("response-signature: s\r\n", field),
        ..signed.clone()
    };
    fields.map(case).into()
}

/// Responses with a line in the head that is no field.
fn malformed_fields(kind: Kind) -> Vec<Case> {
    let lines = [
        "x y: z",
        "x\u{1}y: z",
        "x\0y: z",
        "x\u{7f}y: z",
        "x\u{e9}y: z",
        "x(y): z",
        "x : z",
        "x\t: z",
        "no colon",
        " x: z",
        ": z",
        "x: y\r\n z",
        "x: y\r\n\tz",
        "x: y\u{1}z",
        "x: y\rz",
        "x: y\0z",
    ];
    let length = kind.length_field();
    let case = |line: &str| {
        let fields = format!("{line}\r\n{length}");
        let case = kind.success(&fields, &kind.body(), End::Close);
        Case { name: format!("{line:?}"), ..case }
    };
    lines.map(case).into()
}

/// Responses as sound runners send them.
fn sound(kind: Kind) -> Vec<Case> {
    let (length, body) = (kind.length_field(), kind.body());
    let coding = "transfer-encoding: chunked\r\n";
    let coded = |content: &str, name: &str| Case {
        name: name.to_owned(),
        ..kind.success(coding, content, End::Keep)
    };
    let copy = "HTTP/1.1 200 OK\r\nrequest-id: {id}\r\ncontent-length: 2\r\n\r\nok";
    let ok = "HTTP/1.1 200 OK";
    let informational = format!("HTTP/1.1 103 Early Hints\r\nlink: x\r\n\r\n{ok}");
    vec![
        kind.success(&length, &body, End::Keep),
        kind.success(&format!("{CLOSE}{length}"), &body, End::Close),
        kind.success(&format!("{length}{length}"), &body, End::Keep),
        kind.success(&format!("content-length: 0{}\r\n", body.len()), &body, End::Keep),
        kind.success(&format!("x: \u{e9}\r\n{length}"), &body, End::Keep),
        kind.success("", &body, End::Close),
        kind.success(CLOSE, &body, End::Close),
        kind.case("HTTP/1.0", "HTTP/1.0 200 OK", "", &body, End::Close),
        kind.case("HTTP/1.0 with a length", "HTTP/1.0 200 OK", &length, &body, End::Close),
        kind.case("no reason", "HTTP/1.1 200 ", &length, &body, End::Keep),
        kind.case("informational response", &informational, &length, &body, End::Keep),
        kind.success("Transfer-Encoding: Chunked\r\n", &kind.chunked(), End::Keep),
        coded(&kind.chunked_by_line(), "many chunks"),
        coded(&format!("{:x};x=y\r\n{body}\r\n0\r\n\r\n", body.len()), "chunk extension"),
        kind.success(
            "transfer-encoding: chunked\r\ntrailer: w, X\r\n",
            &format!("{:x}\r\n{body}\r\n0\r\nx: y\r\n\r\n", body.len()),
            End::Keep,
        ),
        kind.case("second response", ok, &length, &format!("{body}{copy}"), End::Keep),
        kind.case(
            "second response, closed",
            ok,
            &format!("{CLOSE}{length}"),
            &format!("{body}{copy}"),
            End::Close,
        ),
        coded(&format!("{}{copy}", kind.chunked()), "second response after chunks"),
    ]
}

/// A deployment with one runner, some of whose responses are replaced.
struct Setup {
    set: Deployment,
    spoiler: Spoiler,
    next: Arc<Mutex<Option<Raw>>>,
    sent: usize,
}

impl Setup {
    async fn direct(kind: Kind) -> Self {
        Self::new(kind, 1).await
    }

    /// The first node reaches the runner through another one.
    async fn relayed(kind: Kind) -> Self {
        let setup = Self::new(kind, 2).await;
        let node = setup.set.nodes[0].shared.me.id.clone();
        setup.set.network.set(node.as_str(), setup.spoiler.address, Fault::Refuse);
        wait_until("the runner is reached through the other node", async || {
            setup.set.send(0, &RequestSpec::new(kind.paths()[1], "p")).await;
            setup.set.nodes[0].shared.connector.closed() == 1
        })
        .await;
        setup
    }

    async fn new(kind: Kind, nodes: usize) -> Self {
        let set = Deployment::new().await;
        let mut config = configuration(2);
        config["limits"]["maxBodyBytes"] = json!(2 * UPLOAD_BYTES);
        set.store.put("config", "main", &config);
        let set = match kind {
            Kind::Plain => set.with_plain(1).await,
            Kind::Stream => set.with_engines(0, 1).await,
        };
        let set = set.with_nodes(nodes).await;
        let next = Arc::new(Mutex::new(None::<Raw>));
        let taken = next.clone();
        let choice = move |_| {
            let next = taken.clone();
            move |id: &str| {
                let mut next = next.lock().unwrap_or_else(PoisonError::into_inner);
                if !id.starts_with("case") {
                    return Spoil::None;
                }
                next.take().map_or(Spoil::None, Spoil::Replace)
            }
        };
        let spoiler = set.spoil(64, choice).await.remove(0);
        Self { set, spoiler, next, sent: 0 }
    }

    /// Sends a request, with an id of its own, that gets a response of the runner.
    async fn send(&mut self, request: &RequestSpec<'_>, raw: Raw) -> Reply {
        let before = self.spoiler.spoilt();
        for _ in 0..MAX_TRIES {
            *self.next.lock().unwrap_or_else(PoisonError::into_inner) = Some(raw);
            let id = format!("case-{}", self.sent);
            self.sent += 1;
            let reply = self.set.send(0, &RequestSpec { id: &id, ..request.clone() }).await;
            // A sound response restores the health of the runner.
            self.set.send(0, &RequestSpec::new(request.path, &format!("next-{id}"))).await;
            if self.spoiler.spoilt() > before {
                return reply;
            }
        }
        panic!("the runner was not used");
    }

    async fn send_case(&mut self, path: &str, case: &Case) -> Reply {
        let raw = Raw { bytes: case.response.clone().leak(), end: case.end };
        self.send(&RequestSpec::new(path, ""), raw).await
    }
}

/// What is wrong with the reply to a request with a malformed response.
fn broken_fault(reply: &Reply) -> Option<String> {
    let is_refused = reply.status == Some(StatusCode::BAD_GATEWAY) && reply.complete;
    (!is_refused).then(|| format!("{:?}, complete {}", reply.status, reply.complete))
}

/// What is wrong with the reply to a request with a response that may be found to be malformed only
/// after a part of its body has been forwarded. The head may be lost with the rest.
fn cut_fault(reply: &Reply) -> Option<String> {
    let is_cut = !reply.complete && matches!(reply.status, None | Some(StatusCode::OK));
    if is_cut { None } else { broken_fault(reply) }
}

fn sound_fault(reply: &Reply, case: &Case) -> Option<String> {
    let is_whole = reply.status == Some(StatusCode::OK) && reply.complete;
    (!is_whole || reply.text() != case.body)
        .then(|| format!("{:?}, complete {}, {:?}", reply.status, reply.complete, reply.text()))
}

/// Sends each case on each path of its kind, directly and through a peer, and asserts that `fault`
/// finds nothing.
async fn check(
    cases: impl Fn(Kind) -> Vec<Case>,
    kinds: &[Kind],
    fault: impl Fn(&Reply, &Case) -> Option<String>,
) {
    let mut faults = Vec::new();
    for kind in kinds {
        for relayed in [false, true] {
            let mut setup =
                if relayed { Setup::relayed(*kind).await } else { Setup::direct(*kind).await };
            for case in cases(*kind) {
                for path in kind.paths() {
                    let reply = setup.send_case(path, &case).await;
                    if let Some(fault) = fault(&reply, &case) {
                        let name = &case.name;
                        faults.push(format!("{path}, relayed {relayed}, {name:?}: {fault}"));
                    }
                }
            }
        }
    }
    assert!(faults.is_empty(), "{} replies are wrong:\n{}", faults.len(), faults.join("\n"));
}

const BOTH: [Kind; 2] = [Kind::Plain, Kind::Stream];

/// Guards against a body of unknown bounds that is read to the end of the connection, with the sizes
/// of its chunks.
#[tokio::test(flavor = "multi_thread")]
async fn unknown_framing_not_complete() {
    check(unknown_framing, &BOTH, |reply, _| broken_fault(reply)).await;
}

/// Guards against the rest of a head, or the sizes of chunks, that are read as a part of the body.
#[tokio::test(flavor = "multi_thread")]
async fn lost_framing_not_complete() {
    check(lost_framing, &BOTH, |reply, _| broken_fault(reply)).await;
}

/// Guards against a body that is cut where a wrong length ends it.
#[tokio::test(flavor = "multi_thread")]
async fn wrong_length_not_complete() {
    check(wrong_length, &[Kind::Plain], |reply, _| broken_fault(reply)).await;
    check(wrong_length, &[Kind::Stream], |reply, _| cut_fault(reply)).await;
}

/// Guards against a body with a malformed chunk that seems to be whole.
#[tokio::test(flavor = "multi_thread")]
async fn malformed_chunks_not_complete() {
    check(malformed_chunks, &[Kind::Plain], |reply, _| broken_fault(reply)).await;
    check(malformed_chunks, &[Kind::Stream], |reply, _| cut_fault(reply)).await;
}

/// Guards against a status that is none, or that contradicts the head, and is forwarded.
#[tokio::test(flavor = "multi_thread")]
async fn wrong_status_refused() {
    check(wrong_status, &BOTH, |reply, _| broken_fault(reply)).await;
}

/// Guards against checks that refuse the 304 of a sound runner, which may have the length of the body
/// that it leaves out.
#[tokio::test]
async fn not_modified_with_length_conditional_request_forwarded() {
    let mut setup = Setup::direct(Kind::Plain).await;
    let length = Kind::Plain.length_field();
    let case = Kind::Plain.case("304", "HTTP/1.1 304 Not Modified", &length, "", End::Keep);
    let raw = Raw { bytes: case.response.leak(), end: case.end };
    let headers = [("if-none-match", "\"x\"")];
    let spec = RequestSpec { headers: &headers, ..RequestSpec::new("/board/a", "") };
    let reply = setup.send(&spec, raw).await;
    assert_eq!((reply.status, reply.complete), (Some(StatusCode::NOT_MODIFIED), true));
}

/// Guards against a line of a head that is no field and is forwarded or ends the head.
#[tokio::test(flavor = "multi_thread")]
async fn malformed_fields_refused() {
    check(malformed_fields, &BOTH, |reply, _| broken_fault(reply)).await;
}

/// Guards against successes without a signature that are forwarded.
#[tokio::test(flavor = "multi_thread")]
async fn unsigned_success_refused() {
    check(unsigned, &BOTH, |reply, _| broken_fault(reply)).await;
}

/// Guards against checks that refuse responses of sound runners.
#[tokio::test(flavor = "multi_thread")]
async fn sound_responses_served() {
    check(sound, &BOTH, sound_fault).await;
}

/// Bytes that may take the place of another one: those that mean something in a head, and some others.
const SPOILT: &[u8] = b"\r\n\t :;,\"-+0159aAzZ\0\x01\x7f";
const SEED: u64 = 94;
/// One in this many mutations is sent, unless [`ALL`] is set in the environment.
const SHARE: u32 = 10;
const ALL: &str = "SARDINEPICK_ALL_MUTATIONS";

/// The sound responses that are mutated: the parts of each, and whether a part is its body's.
fn unspoilt(kind: Kind) -> Vec<Vec<(String, bool)>> {
    let head = |fields: &str| {
        let case = kind.success(fields, "", End::Close);
        (case.response, false)
    };
    let body = kind.body();
    let coding = "transfer-encoding: chunked\r\n";
    let mut chunks = vec![head(coding)];
    for line in body.split_inclusive('\n') {
        let size = (format!("{:x}\r\n", line.len()), false);
        chunks.extend([size, (line.to_owned(), true), ("\r\n".to_owned(), false)]);
    }
    chunks.push(("0\r\n\r\n".to_owned(), false));
    let closed = format!("{CLOSE}{}", kind.length_field());
    let bodies = [head(&kind.length_field()), head(&closed), head(""), head(CLOSE)];
    bodies.map(|head| vec![head, (body.clone(), true)]).into_iter().chain([chunks]).collect()
}

/// The response with one byte changed, removed or doubled, at each position outside of its body.
fn mutations(parts: &[(String, bool)], rng: &mut StdRng) -> Vec<String> {
    let whole: String = parts.iter().map(|(part, _)| part.as_str()).collect();
    let is_body = parts.iter().flat_map(|(part, is_body)| part.bytes().map(|_| *is_body));
    // The id of the request is written into the response later.
    let id = whole.find("{id}").expect("an id");
    let mut mutations = Vec::new();
    for (at, _) in
        is_body.enumerate().filter(|(at, is_body)| !is_body && !(id..id + 4).contains(at))
    {
        let (before, rest) = whole.split_at(at);
        let (byte, after) = rest.split_at(1);
        let other = SPOILT[rng.random_range(0..SPOILT.len())] as char;
        for middle in [other.to_string(), String::new(), byte.repeat(2)] {
            mutations.push(format!("{before}{middle}{after}"));
        }
        for line_end in ["\n", "\r"] {
            mutations.push(format!("{before}{line_end}{after}"));
        }
    }
    mutations
}

/// Guards against any spoilt byte of a head or of a chunk's size that makes another body complete. No
/// reader can tell an empty line that comes before the body of a response without framing.
#[tokio::test(flavor = "multi_thread")]
async fn mutated_response_not_complete_with_another_body() {
    let mut rng = StdRng::seed_from_u64(SEED);
    let share = if std::env::var_os(ALL).is_some() { 1 } else { SHARE };
    let (mut faults, mut sent, mut complete) = (Vec::new(), 0, 0);
    for kind in BOTH {
        let mut setup = Setup::direct(kind).await;
        for parts in unspoilt(kind) {
            let is_framed =
                ["content-length", "transfer-encoding"].iter().any(|f| parts[0].0.contains(f));
            for response in mutations(&parts, &mut rng) {
                if !rng.random_ratio(1, share) {
                    continue;
                }
                let raw = Raw { bytes: response.clone().leak(), end: End::Close };
                let reply = setup.send(&RequestSpec::new(kind.paths()[1], ""), raw).await;
                sent += 1;
                if !reply.complete || !reply.status.is_some_and(|status| status.is_success()) {
                    continue;
                }
                complete += 1;
                let text = reply.text();
                let body = if is_framed { &text } else { text.trim_start_matches(['\r', '\n']) };
                if body != kind.body() || reply.header("response-signature").is_none() {
                    faults.push(format!("{response:?}: {text:?}"));
                }
            }
        }
    }
    println!("{complete} of {sent} replies complete");
    assert!(complete > 0 && complete < sent, "{complete} of {sent}");
    assert!(faults.is_empty(), "{} replies are wrong:\n{}", faults.len(), faults.join("\n"));
}

/// Sends uploads whose runner answers at once and resets the connection, and asserts that none gets a
/// complete success.
async fn check_resets(mut setup: Setup, fields: &str) {
    let mut faults = Vec::new();
    for delay in [0, 1, 2, 5, 10, 20, 50, 100] {
        let end = End::ResetUnread(Duration::from_millis(delay));
        for path in Kind::Plain.paths() {
            for round in 0..3 {
                let case = Kind::Plain.success(fields, BODY, end);
                let raw = Raw { bytes: case.response.leak(), end };
                let upload = Bytes::from(vec![b'u'; UPLOAD_BYTES]);
                let spec = RequestSpec { body: upload, ..RequestSpec::new(path, "") };
                let reply = setup.send(&spec, raw).await;
                if reply.status == Some(StatusCode::OK) && reply.complete {
                    faults.push(format!("{path}, {delay} ms, round {round}"));
                }
            }
        }
    }
    assert!(faults.is_empty(), "{} complete:\n{}", faults.len(), faults.join("\n"));
}

/// Guards against a body without a length that seems to be whole though its connection was reset while
/// the request was written: the reset is reported to the write alone.
#[tokio::test(flavor = "multi_thread")]
async fn reset_during_upload_not_complete() {
    check_resets(Setup::direct(Kind::Plain).await, "").await;
    check_resets(Setup::direct(Kind::Plain).await, CLOSE).await;
}

/// Guards against the same on connections through another node.
#[tokio::test(flavor = "multi_thread")]
async fn reset_during_upload_through_peer_not_complete() {
    check_resets(Setup::relayed(Kind::Plain).await, "").await;
}
