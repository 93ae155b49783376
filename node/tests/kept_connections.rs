//! Connections that callers keep: each request that the node has read ends in a complete response.

use std::time::Duration;

use sardinepick_testutils::cluster::wait_until;
use sardinepick_testutils::fleet::deployment::{Deployment, configuration, with_accounts};
use sardinepick_testutils::fleet::raw_caller::{RawCaller, RawReply, RawRequest};
use sardinepick_testutils::fleet::runner::{Faults, Runner};
use serde_json::{Value, json};
use tokio::time::sleep;

/// Longer than any request of these tests takes.
const LIMIT: Duration = Duration::from_secs(10);
/// A body that does not fit into one segment.
const LONG_BODY: &[u8] = &[b'x'; 40_000];
const PIECES: usize = 4;
const PIECE_PAUSE: Duration = Duration::from_millis(30);
/// How much later than its idle timeout a connection may be closed on a busy machine.
const CLOSE_DELAY: Duration = Duration::from_millis(800);

/// The default configuration with these timeouts of callers' connections, in milliseconds.
fn with_timeouts(version: u64, idle: u64, head: u64) -> Value {
    let mut config = configuration(version);
    config["limits"]["idleTimeoutMs"] = json!(idle);
    config["limits"]["headerTimeoutMs"] = json!(head);
    config
}

/// One node with this configuration, and two plain runners.
async fn deployment(config: &Value) -> Deployment {
    let set = Deployment::new().await.with_plain(2).await;
    set.store.put("config", "main", config);
    let set = set.with_nodes(1).await;
    wait_in_force(&set, config).await;
    set
}

async fn wait_in_force(set: &Deployment, config: &Value) {
    let version = config["version"].as_u64().expect("a version");
    wait_until("the configuration is in force", async || {
        set.nodes.iter().all(|node| node.shared.status().version.0 >= version)
    })
    .await;
}

async fn apply(set: &Deployment, config: &Value) {
    set.store.put("config", "main", config);
    wait_in_force(set, config).await;
}

/// A caller whose connection has carried one request.
async fn kept_caller(set: &Deployment) -> RawCaller {
    let mut caller = RawCaller::connect(set.front(0)).await;
    let reply = caller.send(&RawRequest::new("/board/a", "first"), LIMIT).await;
    assert_answered(&reply, "first");
    caller
}

fn assert_answered(reply: &RawReply, id: &str) {
    assert!(reply.is_complete(), "{id}: {:?} after {:?}", reply.end, reply.text());
    assert_eq!((reply.status, reply.text()), (200, format!("answer to {id}")));
}

/// Sends a request whose body arrives in pieces, some after its refusal. The caller reads once it has
/// written all of it, and then sends another request on the connection if that stays open.
async fn assert_refused_with_long_body(set: &Deployment, request: &RawRequest<'_>, status: u16) {
    let mut caller = RawCaller::connect(set.front(0)).await;
    let is_written = caller.write_pieces(&request.bytes(), PIECES, PIECE_PAUSE).await;
    // Segments that arrive after a close have reset the connection by then.
    sleep(PIECE_PAUSE).await;
    let reply = caller.read_reply(LIMIT).await;
    let (end, got) = (reply.end, reply.status);
    assert!(is_written, "the connection broke in the body; after that: {end:?} with status {got}");
    assert!(reply.is_complete(), "{end:?} with status {got}");
    assert_eq!(reply.status, status);
    if !reply.closes() {
        let next = caller.send(&RawRequest { id: "next", ..*request }, LIMIT).await;
        assert!(next.is_complete(), "the next request: {:?}, {}", next.end, next.status);
    }
}

/// Guards against a refusal that is lost because the connection is closed while the rest of the body
/// of the request still arrives.
#[tokio::test]
async fn long_body_for_removed_route_refused() {
    let set = deployment(&configuration(1)).await;
    let mut config = configuration(2);
    let routes = config["routes"].as_array_mut().expect("it has routes");
    routes.retain(|route| route["name"] != "eggs");
    apply(&set, &config).await;
    let request = RawRequest { body: LONG_BODY, ..RawRequest::new("/eggs/a", "r1") };
    assert_refused_with_long_body(&set, &request, 404).await;
}

/// Guards against a refusal for a missing key that is lost while the body still arrives.
#[tokio::test]
async fn long_body_without_key_refused() {
    let set = deployment(&with_accounts(1, &[("kitchen", &["key-1"], None)])).await;
    let request = RawRequest { body: LONG_BODY, ..RawRequest::new("/board/a", "r1") };
    assert_refused_with_long_body(&set, &request, 401).await;
}

/// Guards against a refusal of a starting node that is lost while the body still arrives.
#[tokio::test]
async fn long_body_without_configuration_refused() {
    let mut set = Deployment::new().await.with_plain(1).await;
    set.store.remove("config", "main");
    set.add_node("edge-0", Vec::new()).await;
    let request = RawRequest { body: LONG_BODY, ..RawRequest::new("/board/a", "r1") };
    assert_refused_with_long_body(&set, &request, 503).await;
}

/// Guards against a refusal for its size that is lost while the body still arrives.
#[tokio::test]
async fn oversized_body_refused() {
    let set = deployment(&configuration(1)).await;
    let body = [b'x'; 100_000];
    let request = RawRequest { body: &body, ..RawRequest::new("/board/a", "r1") };
    assert_refused_with_long_body(&set, &request, 413).await;
}

/// Guards against a long body in pieces that is not passed on.
#[tokio::test]
async fn long_body_in_pieces_answered() {
    let set = deployment(&configuration(1)).await;
    let mut caller = kept_caller(&set).await;
    let request = RawRequest { body: LONG_BODY, ..RawRequest::new("/eggs/a", "r1") };
    assert!(caller.write_pieces(&request.bytes(), PIECES, PIECE_PAUSE).await);
    assert_answered(&caller.read_reply(LIMIT).await, "r1");
    assert_answered(&caller.send(&RawRequest::new("/board/a", "r2"), LIMIT).await, "r2");
}

/// Guards against a kept connection that is closed by the idle timeout of an earlier configuration.
#[tokio::test]
async fn idle_connection_kept_for_raised_timeout() {
    let set = deployment(&with_timeouts(1, 1_000, 1_000)).await;
    let mut caller = kept_caller(&set).await;
    apply(&set, &with_timeouts(2, 3_000, 1_000)).await;
    sleep(Duration::from_millis(2_400)).await;
    assert_answered(&caller.send(&RawRequest::new("/eggs/a", "r1"), LIMIT).await, "r1");
}

/// Guards against a kept connection that is closed by an earlier idle timeout although it has
/// carried requests since that was raised.
#[tokio::test]
async fn used_connection_kept_for_raised_timeout() {
    let set = deployment(&with_timeouts(1, 1_000, 1_000)).await;
    let mut caller = kept_caller(&set).await;
    apply(&set, &with_timeouts(2, 3_000, 1_000)).await;
    assert_answered(&caller.send(&RawRequest::new("/eggs/a", "r1"), LIMIT).await, "r1");
    sleep(Duration::from_millis(2_400)).await;
    assert_answered(&caller.send(&RawRequest::new("/eggs/a", "r2"), LIMIT).await, "r2");
}

/// Guards against a connection that is closed by the default idle timeout because it was accepted
/// before a configuration was known.
#[tokio::test]
async fn connection_accepted_without_configuration_kept() {
    let mut set = Deployment::new().await.with_plain(1).await;
    set.store.remove("config", "main");
    set.add_node("edge-0", Vec::new()).await;
    let mut caller = RawCaller::connect(set.front(0)).await;
    let reply = caller.send(&RawRequest::new("/board/a", "first"), LIMIT).await;
    assert_eq!((reply.status, reply.closes()), (503, false));
    apply(&set, &with_timeouts(2, 20_000, 3_000)).await;
    set.wait_ready().await;
    assert_answered(&caller.send(&RawRequest::new("/board/a", "r1"), LIMIT).await, "r1");
    sleep(Duration::from_secs(16)).await;
    assert_answered(&caller.send(&RawRequest::new("/eggs/a", "r2"), LIMIT).await, "r2");
}

/// Guards against an idle connection that outlives a lowered idle timeout.
#[tokio::test]
async fn idle_connection_closed_by_lowered_timeout() {
    let set = deployment(&with_timeouts(1, 20_000, 1_000)).await;
    let mut caller = kept_caller(&set).await;
    apply(&set, &with_timeouts(2, 1_500, 1_000)).await;
    let is_closed = caller.wait_closed(Duration::from_millis(1_000)).await;
    assert!(!is_closed, "the connection is closed before its idle timeout");
    let is_closed = caller.wait_closed(Duration::from_millis(500) + CLOSE_DELAY).await;
    assert!(is_closed, "the connection is still open");
}

/// Guards against a request in progress that is cut by a lowered idle timeout.
#[tokio::test]
async fn request_in_progress_not_cut_by_lowered_timeout() {
    let set = deployment(&with_timeouts(1, 20_000, 1_000)).await;
    let mut caller = kept_caller(&set).await;
    let faults = Faults { response_delay: Duration::from_secs(2), ..Faults::default() };
    set.runners.iter().for_each(|runner| runner.set_faults(faults));
    assert!(caller.write(&RawRequest::new("/eggs/a", "r1").bytes()).await);
    sleep(Duration::from_millis(100)).await;
    apply(&set, &with_timeouts(2, 500, 500)).await;
    assert_answered(&caller.read_reply(LIMIT).await, "r1");
}

/// Guards against a request whose head arrives in two pieces and is cut by a lowered idle timeout.
#[tokio::test]
async fn half_read_head_not_cut_by_lowered_timeout() {
    let set = deployment(&with_timeouts(1, 20_000, 3_000)).await;
    let mut caller = kept_caller(&set).await;
    let bytes = RawRequest::new("/eggs/a", "r1").bytes();
    let (begin, rest) = bytes.split_at(40);
    assert!(caller.write(begin).await);
    sleep(Duration::from_millis(100)).await;
    apply(&set, &with_timeouts(2, 500, 3_000)).await;
    sleep(Duration::from_millis(1_200)).await;
    assert!(caller.write(rest).await);
    assert_answered(&caller.read_reply(LIMIT).await, "r1");
}

/// Guards against a request that is lost because the idle timeout expires while its head is half
/// read.
#[tokio::test]
async fn head_begun_before_idle_timeout_answered() {
    let set = deployment(&with_timeouts(1, 1_500, 1_000)).await;
    let mut caller = kept_caller(&set).await;
    let bytes = RawRequest::new("/eggs/a", "r1").bytes();
    let (begin, rest) = bytes.split_at(40);
    sleep(Duration::from_millis(1_200)).await;
    assert!(caller.write(begin).await);
    sleep(Duration::from_millis(500)).await;
    assert!(caller.write(rest).await);
    assert_answered(&caller.read_reply(LIMIT).await, "r1");
}

/// Guards against a request that is cut by the idle timeout because an earlier request on its
/// connection, whose body was still being read, ends after it has begun.
#[tokio::test]
async fn request_after_refused_body_not_cut() {
    let set = deployment(&with_timeouts(2, 500, 500)).await;
    let faults = Faults { response_delay: Duration::from_millis(1_800), ..Faults::default() };
    set.runners.iter().for_each(|runner| runner.set_faults(faults));
    let refused = RawRequest { body: LONG_BODY, ..RawRequest::new("/nowhere/a", "refused") };
    let (bytes, next) = (refused.bytes(), RawRequest::new("/eggs/a", "next").bytes());
    let (first, last) = bytes.split_at(bytes.len() - 1_000);
    let mut caller = RawCaller::connect(set.front(0)).await;
    assert!(caller.write(first).await);
    assert_eq!(caller.read_reply(LIMIT).await.status, 404);
    assert!(caller.write(&[last, &next].concat()).await);
    assert_answered(&caller.read_reply(LIMIT).await, "next");
}

/// Guards against a request that is lost because the idle timeout expires while its body arrives.
#[tokio::test]
async fn body_begun_before_idle_timeout_answered() {
    let set = deployment(&with_timeouts(1, 1_000, 500)).await;
    let mut caller = kept_caller(&set).await;
    let request = RawRequest { body: LONG_BODY, ..RawRequest::new("/eggs/a", "r1") };
    sleep(Duration::from_millis(800)).await;
    let pause = Duration::from_millis(250);
    assert!(caller.write_pieces(&request.bytes(), PIECES, pause).await);
    assert_answered(&caller.read_reply(LIMIT).await, "r1");
}

/// Guards against a request that goes on although its caller has closed its half of the connection,
/// which is how callers give up.
#[tokio::test]
async fn request_of_half_closed_connection_cancelled() {
    let set = deployment(&configuration(1)).await;
    let mut caller = kept_caller(&set).await;
    let faults = Faults { response_delay: Duration::from_secs(2), ..Faults::default() };
    set.runners.iter().for_each(|runner| runner.set_faults(faults));
    assert!(caller.write(&RawRequest::new("/board/a", "r1").bytes()).await);
    let running = || set.runners.iter().map(Runner::running).sum::<u64>();
    wait_until("the request is at a runner", async || running() == 1).await;
    caller.close_write().await;
    assert!(caller.wait_closed(Duration::from_secs(1)).await);
    wait_until("the request is cancelled", async || running() == 0).await;
}

/// Guards against pipelined requests that are answered out of order or not at all.
#[tokio::test]
async fn pipelined_requests_answered_in_order() {
    let set = deployment(&configuration(1)).await;
    let mut caller = kept_caller(&set).await;
    let requests = [("/eggs/a", "r1"), ("/gone/a", "r2"), ("/board/a", "r3")];
    let bytes = requests.map(|(path, id)| RawRequest::new(path, id).bytes()).concat();
    assert!(caller.write(&bytes).await);
    assert_answered(&caller.read_reply(LIMIT).await, "r1");
    let refusal = caller.read_reply(LIMIT).await;
    assert_eq!((refusal.status, refusal.is_complete()), (404, true));
    assert_answered(&caller.read_reply(LIMIT).await, "r3");
}

/// Guards against a pipelined request that is lost because the configuration changes while the one
/// before it is in progress.
#[tokio::test]
async fn pipelined_request_answered_after_change() {
    let set = deployment(&with_timeouts(1, 3_000, 1_000)).await;
    let mut caller = kept_caller(&set).await;
    let faults = Faults { response_delay: Duration::from_millis(800), ..Faults::default() };
    set.runners.iter().for_each(|runner| runner.set_faults(faults));
    let requests = [("/eggs/a", "r1"), ("/board/a", "r2")];
    let bytes = requests.map(|(path, id)| RawRequest::new(path, id).bytes()).concat();
    assert!(caller.write(&bytes).await);
    sleep(Duration::from_millis(100)).await;
    apply(&set, &with_timeouts(2, 500, 500)).await;
    assert_answered(&caller.read_reply(LIMIT).await, "r1");
    assert_answered(&caller.read_reply(LIMIT).await, "r2");
}
