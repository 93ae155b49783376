//! Malformed and endless responses to nodes that do not run on the users' platform, and to the command
//! line.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use http::Method;
use prometheus::{IntCounterVec, Opts};
use sardinepick_cli::client::Client;
use sardinepick_lib::hash::Digest;
use sardinepick_node::store::{HttpStore, Store as _, StoreError};
use sardinepick_testutils::caller::Caller;
use sardinepick_testutils::cluster::{Cluster, any_address};
use socket2::SockRef;
use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::sleep;

const KEY: &str = "clerk-key";
const TIMEOUT: Duration = Duration::from_secs(5);
/// The longest response that is kept, and what the kernel takes of one that is not read.
const MAX_READ: u64 = (16 << 20) + (8 << 20);
/// What stands for bytes without end.
const MAX_SENT: u64 = 256 << 20;
/// Below the limit of the node, and more than is sent to a server that reads nothing.
const UPLOAD_BYTES: usize = 900 << 10;
const RESET_DELAY: Duration = Duration::from_millis(20);
const RECEIVE_BUFFER_BYTES: usize = 4 << 10;

/// What a server does with each request.
#[derive(Clone, Copy, Debug)]
enum Act {
    /// Sends bytes and closes the connection.
    Send(&'static str),
    /// Sends bytes and then resets the connection, before it has read the request.
    Reset(&'static str),
    /// Sends a head and then [`MAX_SENT`] bytes.
    Endless,
}

/// Starts a server. Returns its address and the number of bytes that it has sent.
async fn start(act: Act) -> (SocketAddr, Arc<AtomicU64>) {
    let listener = TcpListener::bind(any_address()).await.expect("a free address");
    if let Act::Reset(_) = act {
        let socket = SockRef::from(&listener);
        socket.set_recv_buffer_size(RECEIVE_BUFFER_BYTES).expect("a socket option");
    }
    let address = listener.local_addr().expect("a bound address");
    let sent = Arc::new(AtomicU64::new(0));
    let counter = sent.clone();
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            tokio::spawn(serve(stream, act, counter.clone()));
        }
    });
    (address, sent)
}

async fn serve(mut stream: TcpStream, act: Act, sent: Arc<AtomicU64>) -> std::io::Result<()> {
    let mut request = vec![0; 4096];
    if stream.read(&mut request).await? == 0 {
        return Ok(());
    }
    match act {
        Act::Send(bytes) => stream.write_all(bytes.as_bytes()).await,
        Act::Reset(bytes) => {
            stream.write_all(bytes.as_bytes()).await?;
            sleep(RESET_DELAY).await;
            SockRef::from(&stream).set_linger(Some(Duration::ZERO))
        }
        Act::Endless => {
            stream.write_all(b"HTTP/1.1 200 OK\r\nconnection: close\r\n\r\n").await?;
            let part = vec![b' '; 64 << 10];
            while sent.load(Ordering::Relaxed) < MAX_SENT {
                stream.write_all(&part).await?;
                sent.fetch_add(part.len() as u64, Ordering::Relaxed);
            }
            Ok(())
        }
    }
}

const MALFORMED: [&str; 5] = [
    "HTTP/1.1 200 OK\r\ntransfer-encoding: chunkex\r\n\r\n5\r\nhello\r\n0\r\n\r\n",
    "HTTP/1.1 200 OK\r\ntransfer-encodinx: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n",
    "HTTP/1.1 200 OK\r\n\r\ncontent-length: 5\r\n\r\nhello",
    "HTTP/1.1 205 Reset Content\r\ncontent-length: 5\r\n\r\nhello",
    "HTTP/1.1 600 OK\r\ncontent-length: 5\r\n\r\nhello",
];

fn store(address: SocketAddr) -> HttpStore {
    let calls = IntCounterVec::new(Opts::new("calls", "calls"), &["operation"]);
    HttpStore::new(address, TIMEOUT, calls.expect("a valid name"))
}

/// Guards against a malformed response of the platform that is taken for an object.
#[tokio::test]
async fn store_malformed_response_is_lost() {
    for bytes in MALFORMED {
        let (address, _) = start(Act::Send(bytes)).await;
        let read = store(address).get("a").await;
        assert!(read.as_ref().is_err_and(StoreError::may_have_written), "{bytes:?}: {read:?}");
    }
}

/// Guards against a response of the platform that has no end and is kept whole.
#[tokio::test]
async fn store_endless_response_not_kept() {
    let (address, sent) = start(Act::Endless).await;
    assert!(store(address).get("a").await.is_err());
    let sent = sent.load(Ordering::Relaxed);
    assert!(sent < MAX_READ, "{sent} bytes");
}

/// Guards against a response of a node that has no end and is kept whole by the command line.
#[tokio::test]
async fn cli_endless_response_not_kept() {
    let (address, sent) = start(Act::Endless).await;
    let client = Client::new(vec![address], KEY.to_owned());
    assert!(client.get("/v1/state").await.is_err());
    let sent = sent.load(Ordering::Relaxed);
    assert!(sent < 4 * MAX_READ, "{sent} bytes");
}

/// Sends a call to a plain service whose only runner is a server.
async fn call(act: Act, body: Vec<u8>) -> Option<(u16, String)> {
    let (address, _) = start(act).await;
    let key = Digest::of(KEY.as_bytes());
    let config = format!(
        "begin; create service ontbijtbord form = plain, deadline = 3s; \
         create runner ontbijtbord-1 service = ontbijtbord, address = {address}, \
         data_centre = zaal-dom; \
         create account clerk key = {key}, rate = 1000, burst = 1000, concurrency = 100; commit"
    );
    let cluster = Cluster::start(1, &["zaal-dom"], &config).await;
    let path = "/services/ontbijtbord/orders";
    let caller = Caller::new(KEY);
    let reply = caller.fetch(cluster.front(0), Method::POST, path, &[], body).await.ok()?;
    Some((reply.0.as_u16(), reply.1))
}

/// Guards against a malformed response of a plain service that is forwarded.
#[tokio::test(flavor = "multi_thread")]
async fn plain_service_malformed_response_refused() {
    for bytes in MALFORMED {
        let (status, text) = call(Act::Send(bytes), b"order".to_vec()).await.expect("a response");
        assert_eq!(status, 502, "{bytes:?}: {text}");
    }
}

/// Guards against a body without a length that seems to be whole though its connection was reset while
/// the request was written.
#[tokio::test(flavor = "multi_thread")]
async fn plain_service_reset_during_upload_not_complete() {
    for round in 0..5 {
        let act = Act::Reset("HTTP/1.1 200 OK\r\n\r\nhel");
        let reply = call(act, vec![b'u'; UPLOAD_BYTES]).await;
        let is_success = reply.as_ref().is_some_and(|(status, _)| *status == 200);
        assert!(!is_success, "{round}: {reply:?}");
    }
}
