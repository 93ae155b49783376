//! Crowds of clients against the daemon without a platform, whose own listener serves completions,
//! plain calls and the API of operators.

use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

use sardinepick_testutils::caller::Caller;
use sardinepick_testutils::cluster::{
    ADMIN_KEY, NodeOptions, free_address, own_ip, wait_ready, wait_until,
};
use sardinepick_testutils::crowd::{self, End, Framing, Sent};
use sardinepick_testutils::platform::Platform;
use sardinepick_testutils::process::Daemon;
use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::TcpStream;
use tokio::sync::Mutex;
use tokio::time::sleep;

/// The memory of the VM, in megabytes.
const MEMORY_MB: u64 = 160;
/// The largest body by default.
const MAX_BODY: usize = 1 << 20;
const PATH: &str = "/v1/run";
const SAMPLE_PERIOD: Duration = Duration::from_millis(25);

/// The tests run one at a time, as each measures a process.
static ONE_AT_A_TIME: Mutex<()> = Mutex::const_new(());

/// The first change, without which a node is not ready.
const FIRST_CHANGE: &str = "create model telraad-7b version = 3";

/// An ordinary request with a body: a command of an operator.
async fn command(front: SocketAddr, text: &str) -> bool {
    let result = Caller::new(ADMIN_KEY).command(front, text).await;
    result.is_ok_and(|(status, _)| status.is_success())
}

/// A node with default limits.
async fn start() -> (Platform, NodeOptions, Daemon) {
    let platform = Platform::start(free_address(own_ip())).await.expect("a free address");
    let options = NodeOptions::new("entry-1", "zaal-dom", platform.address());
    platform.set_vms(vec![options.vm()]);
    let daemon = Daemon::start(Path::new(env!("CARGO_BIN_EXE_sardinepickd")), &options);
    let first = async || command(options.front, FIRST_CHANGE).await;
    wait_until("the first change is applied", first).await;
    wait_ready(options.front).await;
    (platform, options, daemon)
}

/// Runs a crowd against a node, and checks that it stays within its VM and serves an ordinary request
/// afterwards.
async fn withstand(count: usize, sent: Sent) {
    let _guard = ONE_AT_A_TIME.lock().await;
    let (_platform, options, mut daemon) = start().await;
    let mut running = std::pin::pin!(crowd::run(options.front, count, sent));
    let mut memory = 0;
    loop {
        tokio::select! {
            () = running.as_mut() => break,
            () = sleep(SAMPLE_PERIOD) => {
                let unread = daemon.unread(&[options.front]);
                memory = memory.max((daemon.usage().rss_kb << 10) + unread);
            }
        }
    }
    let memory = memory >> 20;
    println!("at most {memory} MB");
    assert_eq!(daemon.exit_status(), None, "the process has ended");
    let after = async || command(options.front, "show runners").await;
    wait_until("an ordinary request is answered", after).await;
    assert!(memory < MEMORY_MB, "{memory} of {MEMORY_MB} MB");
}

/// Guards against bodies that are held without a bound on their number, before it is known whose
/// they are.
#[tokio::test]
async fn bodies_unended_without_platform_bounded() {
    let framing = Framing::Length(MAX_BODY);
    let (bytes, write) = (MAX_BODY - 1, MAX_BODY);
    withstand(200, Sent { path: PATH, framing, bytes, write, end: End::Stays }).await;
}

/// Guards against chunks of one byte that each take the space of many.
#[tokio::test]
async fn bodies_in_chunks_of_one_byte_without_platform_bounded() {
    let (framing, bytes, write) = (Framing::Chunks(1), MAX_BODY, 64 << 10);
    withstand(6, Sent { path: PATH, framing, bytes, write, end: End::Stays }).await;
}

/// Guards against a refusal that a client loses because the connection is reset while it still sends
/// the body.
#[tokio::test]
async fn refusal_of_body_over_limit_received() {
    let _guard = ONE_AT_A_TIME.lock().await;
    let (_platform, options, _daemon) = start().await;
    let framing = Framing::Length(2 * MAX_BODY);
    let bytes = 2 * MAX_BODY;
    let sent = Sent { path: PATH, framing, bytes, write: bytes, end: End::Stays };
    let body = sent.body();
    let (first, rest) = body.split_at(MAX_BODY / 4);
    let mut stream = TcpStream::connect(options.front).await.expect("a connection");
    stream.write_all(&[sent.head("r1"), first.to_vec()].concat()).await.expect("the first part");
    stream.readable().await.expect("a response");
    stream.write_all(rest).await.expect("the rest");
    let mut status = [0; 12];
    stream.read_exact(&mut status).await.expect("a response");
    assert_eq!(&status, b"HTTP/1.1 413");
}
