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

/// Runs a crowd against a node with default limits, and checks that it stays within its VM and
/// serves an ordinary request afterwards.
async fn withstand(count: usize, sent: Sent) {
    let _guard = ONE_AT_A_TIME.lock().await;
    let platform = Platform::start(free_address(own_ip())).await.expect("a free address");
    let options = NodeOptions::new("entry-1", "zaal-dom", platform.address());
    platform.set_vms(vec![options.vm()]);
    let mut daemon = Daemon::start(Path::new(env!("CARGO_BIN_EXE_sardinepickd")), &options);
    let first = async || command(options.front, FIRST_CHANGE).await;
    wait_until("the first change is applied", first).await;
    wait_ready(options.front).await;
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
