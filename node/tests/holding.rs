//! Held bytes of nodes with limits, with real connections.

use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

use futures_util::future::join_all;
use sardinepick_lib::fleet::holding::{Bounds, Rate, Resources, Size};
use sardinepick_node::serve::run::Running;
use sardinepick_node::serve::settings::Settings;
use sardinepick_testutils::cluster::{any_address, free_address, own_ip, wait_until};
use sardinepick_testutils::fleet::deployment::{
    DEFAULT_DATA_CENTRE, DEFAULT_VERSION, Deployment, MODEL_SERVICE, configuration,
};
use sardinepick_testutils::fleet::raw_caller::{RawCaller, RawRequest};
use sardinepick_testutils::fleet::runner::{Faults, Kind, Runner};
use sardinepick_testutils::fleet::soak::node_settings;
use sardinepick_testutils::process::Daemon;
use serde_json::json;
use tokio::time::{Instant, sleep};

/// A node that may hold about 2 MB.
const LIMITS: (f64, u32, f64) = (16.0, 512, 1_000.0);
const RECEIVE_BUFFER_BYTES: u32 = 16 << 10;
const READ_LIMIT: Duration = Duration::from_secs(8);
/// What a test's requests may wait for a whole answer.
const IN_TIME: Duration = Duration::from_secs(1);
const ENGINE_HEADERS: [(&str, &str); 3] =
    [("model", "m"), ("token-count", "1460,80"), ("prompt-prefix", "5c1e:1460")];
const PURPOSES: [&str; 4] = ["body", "answer", "stream", "transfer"];

fn limits() -> Resources {
    let (memory, link) = (Size::of_megabytes(LIMITS.0), Rate::of_megabits(LIMITS.2));
    Resources { memory, descriptors: LIMITS.1, link }
}

/// A deployment whose nodes have limits, with bodies of up to 2 MB.
async fn deployment() -> Deployment {
    let set = Deployment::new().await.with_limits(limits());
    let mut config = configuration(2);
    config["limits"]["maxBodyBytes"] = json!(2 << 20);
    set.store.put("config", "main", &config);
    set
}

/// Adds a runner whose streams have `events` events of `padding` bytes.
async fn add_engine(set: &mut Deployment, events: u64, padding: usize) {
    let kind = Kind {
        service: MODEL_SERVICE.to_owned(),
        data_centre: DEFAULT_DATA_CENTRE.to_owned(),
        stage: Some("decode"),
        events,
        version: DEFAULT_VERSION,
    };
    let id = format!("i-{}", set.runners.len());
    let runner = Runner::start(&id, any_address(), kind, &set.store).await.expect("a free address");
    runner.set_faults(Faults { padding, ..Faults::default() });
    set.runners.push(runner);
}

fn held(node: &Running) -> u64 {
    let gauge = |purpose| node.shared.metrics.held_bytes.with_label_values(&[purpose]).get();
    PURPOSES.into_iter().map(|purpose| u64::try_from(gauge(purpose)).unwrap_or(0)).sum()
}

/// Watches the held bytes while `work` runs, and returns the most.
async fn peak_during<T>(node: &Running, work: impl Future<Output = T>) -> (T, u64) {
    let mut work = std::pin::pin!(work);
    let mut peak = 0;
    loop {
        tokio::select! {
            result = work.as_mut() => return (result, peak),
            () = sleep(Duration::from_millis(2)) => peak = peak.max(held(node)),
        }
    }
}

fn counter(node: &Running, name: &str, label: &str) -> u64 {
    let metrics = &node.shared.metrics;
    let counters = match name {
        "sheds" => &metrics.holding_sheds,
        "pauses" => &metrics.holding_pauses,
        _ => &metrics.holding_refusals,
    };
    counters.with_label_values(&[label]).get()
}

const NODE_INI: &str = "[node]\nname = n\ndata_centre = d\nfront = 127.0.0.1:1\nready = 127.0.0.1:2\n\
    lookup = 127.0.0.1:3\npeer = 127.0.0.1:4\nmetrics = 127.0.0.1:5\n[store]\naddress = 127.0.0.1:6\n";

/// Guards against a node that does not start because the platform writes a whole number with a
/// decimal point.
#[test]
fn settings_limits_fractions_read() {
    let text =
        format!("{NODE_INI}[limits]\nmemory_mb = 160\ndescriptors = 4100\nlink_mbps = 10.0\n");
    let settings = Settings::parse("node.ini", &text).expect("valid settings");
    let limits = settings.limits;
    assert_eq!(limits.memory, Size(160 << 20));
    assert_eq!((limits.descriptors, limits.link), (4_100, Rate::of_megabits(10.0)));
    for rest in ["", "[limits]\n"] {
        let settings = Settings::parse("node.ini", &format!("{NODE_INI}{rest}"));
        assert_eq!(settings.expect("valid settings").limits, Resources::default());
    }
}

/// Guards against limits that are silently ignored.
#[test]
fn settings_limits_incomplete_error() {
    let text = format!("{NODE_INI}[limits]\nmemory_mb = 0\ndescriptors = many\n");
    let error = Settings::parse("node.ini", &text).expect_err("invalid").to_string();
    assert_eq!(error.lines().count(), 3, "{error}");
    for key in ["memory_mb", "descriptors", "link_mbps"] {
        assert!(error.contains(&format!("[limits] {key}: ")), "{error}");
    }
}

/// Guards against a stream that is held as a whole for a reader that has stopped while its runner
/// goes on, and against one that occupies the node for ever.
#[tokio::test]
async fn stream_of_stopped_reader_bounded() {
    let mut set = deployment().await;
    add_engine(&mut set, 2_000, 8 << 10).await;
    let set = set.with_nodes(1).await;
    let node = &set.nodes[0];
    let mut caller = RawCaller::connect_with_buffer(set.front(0), RECEIVE_BUFFER_BYTES).await;
    let request = RawRequest { headers: &ENGINE_HEADERS, ..RawRequest::new("/tally/a", "stopped") };
    assert!(caller.write(&request.bytes()).await);
    let in_progress = &node.shared.metrics.in_progress;
    let ended = async {
        wait_until("the request is in progress", async || in_progress.get() == 1).await;
        wait_until("the request has ended", async || in_progress.get() == 0).await;
    };
    let ((), peak) = peak_during(node, ended).await;
    let part = Bounds::of(limits()).stream.0;
    assert!(peak >= part / 2, "{peak} bytes held, which tests nothing");
    assert!(peak <= part + 4 * (9 << 10), "{peak} bytes held, {part} before a pause");
    assert!(counter(node, "pauses", "stream") > 0);
    let reply = caller.read_reply(READ_LIMIT).await;
    assert!(!reply.is_complete(), "a cut stream must not look complete");
    drop(caller);
    wait_until("all is released", async || held(node) == 0).await;
}

/// Callers that have requested a stream and read nothing of it.
async fn slow_readers(front: SocketAddr, count: usize) -> Vec<RawCaller> {
    let mut slow = Vec::new();
    for at in 0..count {
        let mut caller = RawCaller::connect_with_buffer(front, RECEIVE_BUFFER_BYTES).await;
        let id = format!("slow-{at}");
        let request = RawRequest { headers: &ENGINE_HEADERS, ..RawRequest::new("/tally/a", &id) };
        assert!(caller.write(&request.bytes()).await);
        slow.push(caller);
    }
    slow
}

/// Guards against readers that keep up but are late because slow ones fill the node.
#[tokio::test]
async fn quick_readers_beside_slow_ones_in_time() {
    let mut set = deployment().await;
    add_engine(&mut set, 100, 4 << 10).await;
    let set = set.with_nodes(1).await;
    let (node, front) = (&set.nodes[0], set.front(0));
    let _slow = slow_readers(front, 30).await;
    let total = Bounds::of(limits()).total.0;
    wait_until("slow readers fill the node", async || held(node) > total / 2).await;
    let quick = join_all((0..8).map(async |at| {
        let id = format!("quick-{at}");
        let request = RawRequest { headers: &ENGINE_HEADERS, ..RawRequest::new("/tally/a", &id) };
        let began = Instant::now();
        let reply = RawCaller::connect(front).await.send(&request, READ_LIMIT).await;
        (reply, began.elapsed())
    }));
    let (replies, peak) = peak_during(node, quick).await;
    for (reply, took) in &replies {
        assert!(reply.is_complete(), "{} {:?}", reply.status, reply.end);
        assert!(*took < IN_TIME, "{took:?}");
    }
    assert!(peak <= total, "{peak} of {total} bytes held");
}

/// Guards against bodies that are buffered beyond the bounds, and against a refusal that says "not
/// run" of a request that has run.
#[tokio::test]
async fn large_bodies_wait_or_refused_not_run() {
    let set = deployment().await.with_plain(1).await.with_nodes(1).await;
    let (node, front) = (&set.nodes[0], set.front(0));
    let response_delay = Duration::from_millis(200);
    set.runners[0].set_faults(Faults { response_delay, ..Faults::default() });
    let body = vec![b'x'; 600 << 10];
    let all = join_all((0..12).map(async |at| {
        let id = format!("r{at}");
        let request = RawRequest { body: &body, ..RawRequest::new("/eggs/a", &id) };
        let reply = RawCaller::connect(front).await.send(&request, READ_LIMIT).await;
        (id, reply)
    }));
    let (replies, peak) = peak_during(node, all).await;
    let (mut answered, mut refused) = (0, 0);
    for (id, reply) in &replies {
        match reply.status {
            200 => {
                answered += 1;
                assert_eq!(set.run_count(id), 1);
            }
            503 => {
                refused += 1;
                assert_eq!(set.run_count(id), 0, "{id} has run");
                assert!(reply.header("retry-after").is_some());
            }
            status => panic!("{id}: status {status}"),
        }
    }
    let total = Bounds::of(limits()).total.0;
    assert!(peak <= total / 2, "{peak} of {total} bytes held");
    assert!(answered >= 3 && refused >= 1, "{answered} answered, {refused} refused");
    wait_until("all is released", async || held(node) == 0).await;
}

/// Guards against a large answer that is cut or mixed up with the next one on its connection, and
/// against one that stays counted.
#[tokio::test]
async fn whole_answers_held_until_sent() {
    let set = deployment().await.with_plain(1).await.with_nodes(1).await;
    let node = &set.nodes[0];
    set.runners[0].set_faults(Faults { padding: 1 << 20, ..Faults::default() });
    let mut caller = RawCaller::connect_with_buffer(set.front(0), RECEIVE_BUFFER_BYTES).await;
    for id in ["r1", "r2"] {
        assert!(caller.write(&RawRequest::new("/board/a", id).bytes()).await);
        wait_until("the answer is held", async || held(node) > 256 << 10).await;
        let reply = caller.read_reply(READ_LIMIT).await;
        assert!(reply.is_complete() && reply.body.len() > 1 << 20, "{:?}", reply.end);
        wait_until("all is released", async || held(node) == 0).await;
    }
}

/// Guards against an answer for which there is no space that is retried on other runners, or said
/// not to have run.
#[tokio::test]
async fn answer_larger_than_bound_may_have_run() {
    let set = deployment().await.with_plain(2).await.with_nodes(1).await;
    for runner in &set.runners {
        runner.set_faults(Faults { padding: 4 << 20, ..Faults::default() });
    }
    let mut caller = RawCaller::connect(set.front(0)).await;
    let reply = caller.send(&RawRequest::new("/board/a", "r1"), READ_LIMIT).await;
    assert_eq!((reply.status, set.run_count("r1")), (502, 1));
    assert_eq!(counter(&set.nodes[0], "sheds", "answer"), 1);
}

/// Guards against a runner that stops reading a body and keeps the space of the others beyond the
/// deadline of its request.
#[tokio::test]
async fn body_of_silent_runner_released_at_deadline() {
    let set = deployment().await.with_plain(1).await.with_nodes(1).await;
    let node = &set.nodes[0];
    set.runners[0].fall_silent(Duration::from_secs(10));
    let body = vec![b'x'; 900 << 10];
    let deadline = Duration::from_millis(800);
    let request = RawRequest { body: &body, deadline, ..RawRequest::new("/eggs/a", "r1") };
    let mut caller = RawCaller::connect(set.front(0)).await;
    let began = Instant::now();
    assert!(caller.write(&request.bytes()).await);
    wait_until("the body is held", async || held(node) > 900 << 10).await;
    let reply = caller.read_reply(READ_LIMIT).await;
    assert!(reply.status == 504 && began.elapsed() < 2 * deadline, "{}", reply.status);
    wait_until("all is released", async || held(node) == 0).await;
}

/// Guards against callers that take all descriptors: further ones wait until one leaves, and the
/// other listeners go on.
#[tokio::test]
async fn connections_beyond_bound_wait() {
    let set = deployment().await.with_plain(1).await.with_nodes(1).await;
    let (node, front) = (&set.nodes[0], set.front(0));
    let bound = Bounds::of(limits()).connections as usize;
    let mut idle = Vec::new();
    for _ in 0..bound {
        idle.push(RawCaller::connect(front).await);
    }
    let open = node.shared.metrics.caller_connections.with_label_values(&["front"]);
    wait_until("all are open", async || open.get() == bound as i64).await;
    let mut next = RawCaller::connect(front).await;
    assert!(next.write(&RawRequest::new("/board/a", "r1").bytes()).await);
    sleep(Duration::from_millis(200)).await;
    assert_eq!((open.get(), set.run_count("r1")), (bound as i64, 0));
    let ready = node.shared.settings.ready;
    let mut probe = RawCaller::connect(ready).await;
    assert!(probe.write(b"GET /api/readiness HTTP/1.1\r\nhost: n\r\n\r\n").await);
    assert_eq!(probe.read_reply(READ_LIMIT).await.status, 200);
    idle.pop();
    assert_eq!(next.read_reply(READ_LIMIT).await.status, 200);
}

/// Guards against a drain that waits for readers which take nothing, and against a node at full
/// memory that the others take for lost.
#[tokio::test]
async fn drain_at_full_memory_in_grace() {
    let mut set = deployment().await;
    add_engine(&mut set, 2_000, 8 << 10).await;
    let mut set = set.with_nodes(2).await;
    let front = set.front(0);
    let _slow = slow_readers(front, 38).await;
    let total = Bounds::of(limits()).total.0;
    wait_until("the node is nearly full", async || held(&set.nodes[0]) > total / 2).await;
    let other = set.nodes[1].shared.clone();
    assert_eq!(other.roster().ready_contacts().len(), 1, "the full node counts as lost");
    let node = set.nodes.remove(0);
    let (metrics, began) = (node.shared.metrics.clone(), Instant::now());
    let grace = node.shared.settings.grace;
    node.stop().await;
    assert!(began.elapsed() < grace + Duration::from_millis(500), "{:?}", began.elapsed());
    assert!(metrics.held_bytes.with_label_values(&["stream"]).get() <= total as i64);
}

/// Guards against a runner that ends because the nodes together send it more than it can hold, and
/// against a refusal for lack of room that says "not run" of a request that has run.
#[tokio::test]
async fn runner_full_not_sent_more() {
    const MEMORY: u64 = 10_000;
    const TOKENS: u64 = 1_540;
    let mut set = deployment().await;
    let mut config = configuration(3);
    config["services"][0]["engine"]["kvTokens"] = json!(MEMORY);
    set.store.put("config", "main", &config);
    add_engine(&mut set, 20, 10).await;
    let event_interval = Duration::from_millis(20);
    set.runners[0].set_faults(Faults { event_interval, ..Faults::default() });
    let set = set.with_nodes(2).await;
    let all = join_all((0..40).map(async |at| {
        let id = format!("r{at}");
        let request = RawRequest { headers: &ENGINE_HEADERS, ..RawRequest::new("/tally/a", &id) };
        let mut caller = RawCaller::connect(set.front(at % 2)).await;
        (id.clone(), caller.send(&request, READ_LIMIT).await)
    }));
    let mut all = std::pin::pin!(all);
    let mut running = 0;
    let replies = loop {
        tokio::select! {
            replies = all.as_mut() => break replies,
            () = sleep(Duration::from_millis(2)) => running = running.max(set.runners[0].running()),
        }
    };
    assert!(running * TOKENS <= MEMORY, "{running} at once");
    assert!(running >= 3, "{running} at once, which tests nothing");
    for (id, reply) in &replies {
        let runs = set.run_count(id);
        match reply.status {
            200 => assert!(reply.is_complete() && runs == 1, "{id}: {runs} runs"),
            503 => assert!(reply.header("retry-after").is_some() && runs == 0, "{id}: {runs} runs"),
            status => panic!("{id}: status {status}"),
        }
    }
    let answered = replies.iter().filter(|(_, reply)| reply.status == 200).count();
    assert!(answered >= 5, "{answered} answered");
}

/// The settings of a node of the smaller kind.
const SMALL_NODE: &str = "[limits]\nmemory_mb = 160\ndescriptors = 4100\nlink_mbps = 1000\n";

/// The peak resident memory of a node's process in megabytes, with this number of callers that read
/// nothing of streams of 16 MB.
async fn peak_memory(readers: usize, limits: &str) -> u64 {
    let mut set = deployment().await;
    // A runner takes three requests for each of its 64 slots.
    for _ in 0..6 {
        add_engine(&mut set, 2_000, 8 << 10).await;
    }
    let addresses = [(); 5].map(|()| free_address(own_ip()));
    let ini = node_settings("n-0", &addresses, set.store.address(), &[]);
    let exe = Path::new(env!("CARGO_BIN_EXE_sardinepickd"));
    let daemon = Daemon::serve(exe, &format!("{ini}{limits}"));
    let front = addresses[0];
    let is_ready = async || {
        let Ok(mut probe) = RawCaller::try_connect(addresses[1]).await else { return false };
        probe.write(b"GET /api/readiness HTTP/1.1\r\nhost: n\r\n\r\n").await;
        probe.read_reply(READ_LIMIT).await.status == 200
    };
    wait_until("the node is ready", is_ready).await;
    let mut callers = Vec::new();
    for at in 0..readers {
        let mut caller = RawCaller::connect_with_buffer(front, RECEIVE_BUFFER_BYTES).await;
        let id = format!("slow-{at}");
        let request = RawRequest { headers: &ENGINE_HEADERS, ..RawRequest::new("/tally/a", &id) };
        assert!(caller.write(&request.bytes()).await);
        callers.push(caller);
    }
    let (mut peak_kb, until) = (0, Instant::now() + Duration::from_secs(4));
    while Instant::now() < until {
        peak_kb = peak_kb.max(daemon.usage().rss_kb);
        sleep(Duration::from_millis(20)).await;
    }
    peak_kb / 1_024
}

/// Guards against a node that exceeds its memory with slow readers. Prints the peaks.
#[tokio::test]
async fn memory_of_process_with_400_slow_readers_below_limit() {
    for readers in [0, 100, 400] {
        let peak = peak_memory(readers, SMALL_NODE).await;
        println!("{readers} slow readers: {peak} MB with limits");
        assert!(peak < 160 * 8 / 10, "{peak} MB with {readers} slow readers");
    }
}

/// Guards against a node that exceeds its memory with nearly as many slow readers as it accepts
/// connections.
#[tokio::test]
async fn memory_of_process_with_1000_slow_readers_below_limit() {
    let without = peak_memory(1_000, "").await;
    println!("1000 slow readers: {without} MB without limits");
    let peak = peak_memory(1_000, SMALL_NODE).await;
    println!("1000 slow readers: {peak} MB with limits");
    assert!(peak < 160 * 8 / 10, "{peak} MB with 1000 slow readers");
}
