//! Callers' connections while a node process stops: what it has read or handled is still delivered.

use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

use sardinepick_testutils::cluster::{free_address, own_ip, wait_until};
use sardinepick_testutils::fleet::deployment::{Deployment, with_accounts};
use sardinepick_testutils::fleet::raw_caller::{RawCaller, RawReply, RawRequest};
use sardinepick_testutils::fleet::runner::{Faults, Runner};
use sardinepick_testutils::fleet::soak::node_settings;
use sardinepick_testutils::fleet::store::Fault;
use sardinepick_testutils::process::Daemon;
use tokio::time::{Instant, sleep, sleep_until};

/// The grace period in the settings of the node.
const GRACE: Duration = Duration::from_secs(4);
/// When a stopping node is about to close its idle connections.
const BEFORE_CLOSE: Duration = Duration::from_millis(1_450);
/// When a stopping node has closed its idle connections, with half of the grace period left.
const AFTER_CLOSE: Duration = Duration::from_millis(2_000);
/// Larger than the buffers of the kernel for a connection.
const LARGE: usize = 10 << 20;
/// What a node holds of a stream that is not read, and larger than the buffers of the kernel for its
/// connections to callers.
const UNREAD_STREAM: usize = 512 << 10;
const EVENTS: usize = 12;
/// The size of a slow caller's receive buffer.
const RECEIVE_BUFFER_BYTES: u32 = 64 << 10;

/// One node as a process.
struct Process {
    daemon: Daemon,
    front: SocketAddr,
}

impl Process {
    async fn start(set: &Deployment) -> Self {
        let addresses = [(); 5].map(|()| free_address(own_ip()));
        let ini = node_settings("edge-0", &addresses, set.store.address(), &[]);
        let daemon = Daemon::serve(Path::new(env!("CARGO_BIN_EXE_sardinepickd")), &ini);
        let front = addresses[0];
        let request = RawRequest { headers: &[KEY], ..RawRequest::new("/board/a", "ready") };
        wait_until("the node serves requests", async || {
            if tokio::net::TcpStream::connect(front).await.is_err() {
                return false;
            }
            RawCaller::connect(front).await.send(&request, GRACE).await.status == 200
        })
        .await;
        Self { daemon, front }
    }
}

const KEY: (&str, &str) = ("credential", "key-1");

async fn deployment() -> Deployment {
    Deployment::new().await.with_plain(2).await
}

fn assert_answered(reply: &RawReply, id: &str) {
    assert!(reply.is_complete(), "{id}: {:?} with status {}", reply.end, reply.status);
    assert_eq!((reply.status, reply.text()), (200, format!("answer to {id}")));
}

async fn wait_run(set: &Deployment, id: &str) {
    let ran = |runner: &Runner| runner.run_count(id) > 0;
    wait_until("a runner runs the request", async || set.runners.iter().any(ran)).await;
}

/// Guards against requests that are cut while a runner works on them.
#[tokio::test]
async fn stop_waits_for_runner() {
    let set = deployment().await;
    let node = Process::start(&set).await;
    let faults = Faults { response_delay: AFTER_CLOSE, ..Faults::default() };
    set.runners.iter().for_each(|runner| runner.set_faults(faults));
    let mut caller = RawCaller::connect(node.front).await;
    assert!(caller.write(&RawRequest::new("/eggs/a", "r1").bytes()).await);
    sleep(Duration::from_millis(200)).await;
    node.daemon.terminate();
    assert_answered(&caller.read_reply(GRACE).await, "r1");
}

/// Guards against requests of kept connections that a stopping node closes without saying so.
#[tokio::test]
async fn kept_connection_served_while_stopping() {
    let set = deployment().await;
    let node = Process::start(&set).await;
    let mut caller = RawCaller::connect(node.front).await;
    assert_answered(&caller.send(&RawRequest::new("/eggs/a", "r1"), GRACE).await, "r1");
    node.daemon.terminate();
    sleep(Duration::from_millis(500)).await;
    let reply = caller.send(&RawRequest::new("/eggs/a", "r2"), GRACE).await;
    assert_answered(&reply, "r2");
    assert!(reply.closes(), "a stopping node says that it closes the connection");
}

/// Guards against a large response that is cut at the exit of the process because its handler has
/// ended.
#[tokio::test]
async fn large_response_delivered_before_exit() {
    let set = deployment().await;
    let node = Process::start(&set).await;
    let faults = Faults { padding: LARGE, ..Faults::default() };
    set.runners.iter().for_each(|runner| runner.set_faults(faults));
    let mut caller = RawCaller::connect_with_buffer(node.front, RECEIVE_BUFFER_BYTES).await;
    assert!(caller.write(&RawRequest::new("/eggs/a", "r1").bytes()).await);
    wait_run(&set, "r1").await;
    sleep(Duration::from_millis(300)).await;
    node.daemon.terminate();
    sleep(AFTER_CLOSE).await;
    let reply = caller.read_reply(GRACE - AFTER_CLOSE).await;
    assert!(reply.is_complete(), "{:?} after {} bytes", reply.end, reply.body.len());
}

/// Guards against a stream whose last events are dropped at the exit of the process.
#[tokio::test]
async fn buffered_events_delivered_before_exit() {
    let set = Deployment::new().await.with_plain(1).await.with_engines(0, 1).await;
    let node = Process::start(&set).await;
    let faults = Faults { padding: UNREAD_STREAM / EVENTS, ..Faults::default() };
    set.runners.iter().for_each(|runner| runner.set_faults(faults));
    let mut caller = RawCaller::connect_with_buffer(node.front, RECEIVE_BUFFER_BYTES).await;
    let headers = [("model", "m"), ("token-count", "1460,80"), ("prompt-prefix", "5c1e:800")];
    let request = RawRequest { headers: &headers, ..RawRequest::new("/tally/a", "s1") };
    assert!(caller.write(&request.bytes()).await);
    wait_run(&set, "s1").await;
    sleep(Duration::from_millis(300)).await;
    node.daemon.terminate();
    sleep(AFTER_CLOSE).await;
    let reply = caller.read_reply(GRACE - AFTER_CLOSE).await;
    assert!(reply.is_complete(), "{:?} after {} bytes", reply.end, reply.body.len());
}

/// Guards against a refusal that the caller has not read when the process exits.
#[tokio::test]
async fn refusal_delivered_after_exit() {
    let set = deployment().await;
    let mut node = Process::start(&set).await;
    let mut caller = RawCaller::connect(node.front).await;
    assert!(caller.write(&RawRequest::new("/gone/a", "r1").bytes()).await);
    sleep(Duration::from_millis(100)).await;
    tokio::task::spawn_blocking(move || node.daemon.terminate_and_wait()).await.expect("it ends");
    let reply = caller.read_reply(GRACE).await;
    assert_eq!((reply.status, reply.is_complete()), (404, true));
}

/// Guards against connections that are reset because the node closes its listener before it has accepted
/// them.
#[tokio::test]
async fn connections_waiting_at_close_served() {
    const WAITING: usize = 20;
    let set = deployment().await;
    let node = Process::start(&set).await;
    let began = Instant::now();
    node.daemon.terminate();
    sleep_until(began + BEFORE_CLOSE).await;
    node.daemon.pause();
    let mut callers = Vec::new();
    for n in 0..WAITING {
        let mut caller = RawCaller::connect(node.front).await;
        assert!(caller.write(&RawRequest::new("/board/a", &format!("r{n}")).bytes()).await);
        callers.push(caller);
    }
    sleep_until(began + AFTER_CLOSE).await;
    node.daemon.resume();
    for (n, caller) in callers.iter_mut().enumerate() {
        assert_answered(&caller.read_reply(GRACE - AFTER_CLOSE).await, &format!("r{n}"));
    }
}

/// Guards against connections that are established and reset while the node closes its listener.
#[tokio::test(flavor = "multi_thread")]
async fn connections_opened_across_close_answered() {
    const CALLERS: usize = 8;
    let set = deployment().await;
    let node = Process::start(&set).await;
    let began = Instant::now();
    node.daemon.terminate();
    sleep_until(began + BEFORE_CLOSE).await;
    let front = node.front;
    let callers: Vec<_> = (0..CALLERS)
        .map(|caller| {
            tokio::spawn(async move {
                for n in 0.. {
                    // Refused once the listener is closed.
                    let Ok(mut connection) = RawCaller::try_connect(front).await else { return };
                    let id = format!("r{caller}-{n}");
                    let request = RawRequest::new("/board/a", &id);
                    let reply = connection.send(&request, GRACE).await;
                    assert!(reply.is_complete(), "{id}: {:?}, status {}", reply.end, reply.status);
                }
            })
        })
        .collect();
    for caller in callers {
        caller.await.expect("all connections are answered");
    }
}

/// Writes a part of a request before the node closes its idle connections, and the rest after it.
async fn send_across_close(request: &RawRequest<'_>, first_bytes: usize) -> RawReply {
    let set = deployment().await;
    let node = Process::start(&set).await;
    let mut caller = RawCaller::connect(node.front).await;
    assert_answered(&caller.send(&RawRequest::new("/eggs/a", "first"), GRACE).await, "first");
    let bytes = request.bytes();
    let (begin, rest) = bytes.split_at(first_bytes);
    let began = Instant::now();
    node.daemon.terminate();
    sleep_until(began + BEFORE_CLOSE).await;
    assert!(caller.write(begin).await);
    sleep_until(began + AFTER_CLOSE).await;
    caller.write(rest).await;
    caller.read_reply(GRACE - AFTER_CLOSE).await
}

/// Guards against a request that is lost because the process exits while its body arrives.
#[tokio::test]
async fn request_with_half_read_body_answered_before_exit() {
    let request = RawRequest { body: &[b'x'; 40_000], ..RawRequest::new("/eggs/a", "r1") };
    let reply = send_across_close(&request, request.head().len() + 20_000).await;
    assert_answered(&reply, "r1");
}

/// Guards against a request that is lost because its connection counts as idle while its head
/// arrives.
#[tokio::test]
async fn request_with_half_read_head_answered_before_exit() {
    let request = RawRequest::new("/eggs/a", "r1");
    assert_answered(&send_across_close(&request, 40).await, "r1");
}

/// Guards against a request that is cut at the exit of the process while its key is checked in the
/// store.
#[tokio::test]
async fn request_with_unchecked_key_refused_before_exit() {
    let set = deployment().await;
    set.store.put("config", "main", &with_accounts(2, &[("kitchen", &[KEY.1], None)]));
    let node = Process::start(&set).await;
    let mut caller = RawCaller::connect(node.front).await;
    set.store.set_fault(Fault::Silent);
    let began = Instant::now();
    node.daemon.terminate();
    sleep_until(began + BEFORE_CLOSE).await;
    let headers = [("credential", "key-9")];
    let request = RawRequest { headers: &headers, ..RawRequest::new("/eggs/a", "r1") };
    let reply = caller.send(&request, GRACE - BEFORE_CLOSE).await;
    assert!(reply.is_complete(), "{:?} with status {}", reply.end, reply.status);
    assert!([401, 503].contains(&reply.status), "status {}", reply.status);
}
