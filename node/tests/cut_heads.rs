//! Runners that stop in the middle of a response and close the connection, at each byte of its head.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use http::StatusCode;
use sardinepick_testutils::cluster::any_address;
use sardinepick_testutils::fleet::caller::RequestSpec;
use sardinepick_testutils::fleet::deployment::Deployment;
use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::{Instant, timeout};

const GENERATION: [(&str, &str); 3] =
    [("model", "m"), ("token-count", "1460,80"), ("prompt-prefix", "5c1e:800,91bd:410,e440:250")];
/// How long a response may pause before it is taken to be whole.
const PAUSE: Duration = Duration::from_millis(20);
/// The bytes after the head at which responses are cut, too.
const AFTER_HEAD: usize = 8;

/// How the rest of the head frames the body.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Framing {
    /// As the runner sends it.
    Own,
    /// By the end of the connection.
    Close,
}

/// What becomes of the next response.
#[derive(Clone, Copy, Debug)]
struct Cut {
    /// The bytes that are passed on.
    at: usize,
    reset: bool,
    framing: Framing,
}

/// A proxy in front of a runner that takes one request a connection and cuts one response.
#[derive(Clone, Default)]
struct Cutter {
    next: Arc<Mutex<Option<Cut>>>,
    /// The length of the head that was cut.
    head: Arc<AtomicUsize>,
}

impl Cutter {
    async fn start(&self, runner: SocketAddr) -> SocketAddr {
        let listener = TcpListener::bind(any_address()).await.expect("a free address");
        let address = listener.local_addr().expect("a bound address");
        let cutter = self.clone();
        tokio::spawn(async move {
            while let Ok((caller, _)) = listener.accept().await {
                let cutter = cutter.clone();
                tokio::spawn(async move { cutter.serve(caller, runner).await });
            }
        });
        address
    }

    async fn serve(&self, mut caller: TcpStream, runner: SocketAddr) -> Option<()> {
        let mut upstream = TcpStream::connect(runner).await.ok()?;
        let request = read_until_pause(&mut caller, Duration::from_millis(10)).await;
        upstream.write_all(&request).await.ok()?;
        let response = read_until_pause(&mut upstream, PAUSE).await;
        let is_run = request.starts_with(b"GET /board") || request.starts_with(b"POST");
        let next = || self.next.lock().unwrap_or_else(PoisonError::into_inner).take();
        let Some(cut) = is_run.then(next).flatten() else {
            let closing = reframe(&response, Framing::Close, true);
            return caller.write_all(&closing).await.ok();
        };
        let response = reframe(&response, cut.framing, false);
        let head = response.windows(4).position(|bytes| bytes == b"\r\n\r\n")? + 4;
        self.head.store(head, Ordering::Relaxed);
        caller.write_all(&response[..cut.at.min(response.len())]).await.ok()?;
        if cut.reset {
            caller.set_zero_linger().ok()?;
        }
        Some(())
    }
}

/// Announces that the connection ends with the response, and removes its length if the end of the
/// connection frames it.
fn reframe(response: &[u8], framing: Framing, keeps_length: bool) -> Vec<u8> {
    let text = String::from_utf8_lossy(response);
    if framing == Framing::Own {
        return response.to_vec();
    }
    let Some((head, body)) = text.split_once("\r\n\r\n") else { return response.to_vec() };
    let is_kept = |line: &&str| keeps_length || !line.to_lowercase().starts_with("content-length");
    let lines: Vec<&str> = head.split("\r\n").filter(is_kept).collect();
    format!("{}\r\nconnection: close\r\n\r\n{body}", lines.join("\r\n")).into_bytes()
}

async fn read_until_pause(stream: &mut TcpStream, pause: Duration) -> Vec<u8> {
    let mut bytes = Vec::new();
    let mut buffer = vec![0; 16_384];
    let began = Instant::now();
    while began.elapsed() < Duration::from_secs(2) {
        let limit = if bytes.is_empty() { Duration::from_secs(2) } else { pause };
        match timeout(limit, stream.read(&mut buffer)).await {
            Ok(Ok(count)) if count > 0 => bytes.extend_from_slice(&buffer[..count]),
            _ => break,
        }
    }
    bytes
}

/// Cuts the response to a request at each byte of its head and some bytes after it. A caller that
/// gets a complete success must have got the whole answer, from another attempt.
async fn check_cuts(stage: Option<&'static str>, path: &'static str, framing: Framing) {
    let set = Deployment::new().await;
    let set = match stage {
        Some(_) => set.with_engines(0, 1).await,
        None => set.with_plain(1).await,
    };
    let set = set.with_nodes(1).await;
    let cutter = Cutter::default();
    let address = cutter.start(set.runners[0].address()).await;
    set.publish_proxies(&[address]).await;
    let headers: &[(&str, &str)] = if stage.is_some() { &GENERATION } else { &[] };
    let whole =
        async |id: &str| set.send(0, &RequestSpec { headers, ..RequestSpec::new(path, id) }).await;
    let expected = whole("whole").await;
    assert_eq!((expected.status, expected.complete), (Some(StatusCode::OK), true), "{expected:?}");
    let (mut at, mut cuts) = (0, 0);
    while at <= cutter.head.load(Ordering::Relaxed) + AFTER_HEAD {
        for reset in [false, true] {
            let id = format!("cut-{at}-{reset}");
            let cut = Cut { at, reset, framing };
            *cutter.next.lock().unwrap_or_else(PoisonError::into_inner) = Some(cut);
            let reply = whole(&id).await;
            let unused = cutter.next.lock().unwrap_or_else(PoisonError::into_inner).take();
            cuts += usize::from(unused.is_none());
            // Without a length nothing tells where the body should have ended.
            let is_open = framing == Framing::Close && at >= cutter.head.load(Ordering::Relaxed);
            if reply.status == Some(StatusCode::OK) && reply.complete && (!is_open || reset) {
                let body = reply.text().replace(&id, "whole");
                assert_eq!(body, expected.text(), "cut at {at}, reset {reset}");
            }
            // Restores the runner's health.
            whole(&format!("{id}-next")).await;
        }
        at += 1;
    }
    let head = cutter.head.load(Ordering::Relaxed);
    assert!(head > 0 && cuts >= head, "{cuts} cuts of a head of {head} bytes");
}

/// Guards against a response that was cut in its head and reaches the caller as a whole one.
#[tokio::test]
async fn plain_response_cut_in_head_not_complete() {
    check_cuts(None, "/board/a", Framing::Own).await;
}

/// The same for a response without a length, which ends with its connection.
#[tokio::test]
async fn plain_response_without_length_cut_in_head_not_complete() {
    check_cuts(None, "/board/a", Framing::Close).await;
}

/// The same for streams.
#[tokio::test]
async fn stream_cut_in_head_not_complete() {
    check_cuts(Some("decode"), "/count/a", Framing::Own).await;
}
