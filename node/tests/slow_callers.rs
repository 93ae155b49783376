//! Callers that do not read for a time: what they are owed, and when a runner stops work for them.

use std::time::Duration;

use sardinepick_testutils::cluster::{any_address, wait_until};
use sardinepick_testutils::fleet::deployment::{
    DEFAULT_DATA_CENTRE, DEFAULT_VERSION, Deployment, MODEL_SERVICE, configuration,
};
use sardinepick_testutils::fleet::raw_caller::{RawCaller, RawRequest};
use sardinepick_testutils::fleet::runner::{Faults, Kind, Runner};
use serde_json::{Value, json};
use tokio::time::{Instant, sleep};

/// Larger than the buffers of the kernel for a connection.
const LARGE: usize = 10 << 20;
/// More events than a node buffers for a caller.
const EVENTS: u64 = 400;
const EVENT_BYTES: usize = 200 << 10;
/// The size of a slow caller's receive buffer.
const RECEIVE_BUFFER_BYTES: u32 = 64 << 10;
/// The timeout of the routes.
const ROUTE_TIMEOUT: Duration = Duration::from_secs(3);
const IDLE_TIMEOUT: Duration = Duration::from_secs(1);
const READ_LIMIT: Duration = Duration::from_secs(5);

/// The default configuration with this idle timeout of callers' connections.
fn with_idle_timeout(timeout: Duration) -> Value {
    let mut config = configuration(2);
    config["limits"]["idleTimeoutMs"] = json!(timeout.as_millis() as u64);
    config
}

/// Guards against a connection that the kernel ends because its caller does not read for 3 s.
#[tokio::test]
async fn response_to_pausing_caller_delivered() {
    let set = Deployment::new().await.with_plain(1).await.with_nodes(1).await;
    set.runners[0].set_faults(Faults { padding: LARGE, ..Faults::default() });
    let mut caller = RawCaller::connect_with_buffer(set.front(0), RECEIVE_BUFFER_BYTES).await;
    assert!(caller.write(&RawRequest::new("/board/a", "r1").bytes()).await);
    sleep(Duration::from_secs(5)).await;
    let reply = caller.read_reply(READ_LIMIT).await;
    assert!(reply.is_complete(), "{:?} after {} bytes", reply.end, reply.body.len());
}

/// Guards against a response that is cut because its connection counts as idle while it is sent.
#[tokio::test]
async fn response_longer_than_idle_timeout_delivered() {
    let set = Deployment::new().await.with_plain(1).await;
    set.store.put("config", "main", &with_idle_timeout(IDLE_TIMEOUT));
    let set = set.with_nodes(1).await;
    set.runners[0].set_faults(Faults { padding: LARGE, ..Faults::default() });
    let mut caller = RawCaller::connect_with_buffer(set.front(0), RECEIVE_BUFFER_BYTES).await;
    caller.set_read_pause(Duration::from_millis(20));
    let began = Instant::now();
    let reply = caller.send(&RawRequest::new("/board/a", "r1"), 4 * READ_LIMIT).await;
    assert!(reply.is_complete(), "{:?} after {} bytes", reply.end, reply.body.len());
    let took = began.elapsed();
    assert!(took > 2 * IDLE_TIMEOUT, "the response took {took:?}, which tests nothing");
}

/// Guards against a stream that its caller does not read and that occupies a runner, or its
/// connection, beyond its deadline.
#[tokio::test]
async fn unread_stream_cut_at_its_deadline() {
    let mut set = Deployment::new().await;
    set.store.put("config", "main", &with_idle_timeout(IDLE_TIMEOUT));
    let kind = Kind {
        service: MODEL_SERVICE.to_owned(),
        data_centre: DEFAULT_DATA_CENTRE.to_owned(),
        stage: Some("decode"),
        events: EVENTS,
        version: DEFAULT_VERSION,
    };
    let runner = Runner::start("i-0", any_address(), kind, &set.store).await;
    set.runners.push(runner.expect("a free address"));
    let set = set.with_nodes(1).await;
    let padding = EVENT_BYTES;
    set.runners[0].set_faults(Faults { padding, ..Faults::default() });
    let mut caller = RawCaller::connect_with_buffer(set.front(0), RECEIVE_BUFFER_BYTES).await;
    let headers = [("model", "m"), ("token-count", "1460,80"), ("prompt-prefix", "5c1e:1460")];
    let request = RawRequest { headers: &headers, ..RawRequest::new("/tally/a", "r1") };
    let began = Instant::now();
    assert!(caller.write(&request.bytes()).await);
    let in_progress = &set.nodes[0].shared.metrics.in_progress;
    wait_until("the request is in progress", async || in_progress.get() == 1).await;
    wait_until("the request has ended", async || in_progress.get() == 0).await;
    let took = began.elapsed();
    assert!(took < ROUTE_TIMEOUT + Duration::from_millis(500), "ended after {took:?}");
    let open = set.nodes[0].shared.metrics.caller_connections.with_label_values(&["front"]);
    wait_until("the connection is closed", async || open.get() == 0).await;
    let reply = caller.read_reply(READ_LIMIT).await;
    assert!(!reply.is_complete(), "a cut stream must not look complete");
}
