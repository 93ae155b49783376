//! Requests that may last longer than a stopping node: they are served whole, or refused truthfully, and
//! none ends without a complete response.

use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

use sardinepick_testutils::cluster::{free_address, own_ip, wait_until};
use sardinepick_testutils::fleet::deployment::{Deployment, configuration};
use sardinepick_testutils::fleet::raw_caller::{RawCaller, RawReply, RawRequest};
use sardinepick_testutils::fleet::runner::{Faults, Runner};
use sardinepick_testutils::fleet::soak::node_settings;
use sardinepick_testutils::process::Daemon;
use serde_json::json;
use tokio::time::{Instant, sleep, sleep_until};

/// The grace period in the settings of the node.
const GRACE: Duration = Duration::from_secs(4);
/// Shortly before a stopping node closes its listener and its idle connections.
const BEFORE_CLOSE: Duration = Duration::from_millis(1_400);
/// When no caller should have the address of a stopping node any more, before it closes its listener.
const AFTER_LOOKUPS: Duration = Duration::from_millis(1_550);
/// The deadline of requests, and the timeout of their routes: longer than the grace period.
const DEADLINE: Duration = Duration::from_secs(6);
/// Longer than the rest of the grace period at [`BEFORE_CLOSE`].
const LONG: Duration = Duration::from_millis(2_800);
/// The time for a refusal that waits for nothing.
const AT_ONCE: Duration = Duration::from_millis(500);
/// The time between the events of a stream that lasts for [`LONG`].
const EVENT_INTERVAL: Duration = Duration::from_millis(255);
const STREAM_HEADERS: [(&str, &str); 3] =
    [("model", "m"), ("token-count", "1460,80"), ("prompt-prefix", "5c1e:800")];

/// Two plain runners, one model engine and a node as a process.
struct Site {
    set: Deployment,
    daemon: Daemon,
    front: SocketAddr,
}

impl Site {
    async fn start() -> Self {
        let set = Deployment::new().await.with_plain(2).await.with_engines(0, 1).await;
        let mut config = configuration(2);
        for route in config["routes"].as_array_mut().expect("it has routes") {
            route["timeoutMs"] = json!(DEADLINE.as_millis() as u64);
        }
        set.store.put("config", "main", &config);
        let addresses = [(); 5].map(|()| free_address(own_ip()));
        let ini = node_settings("edge-0", &addresses, set.store.address(), &[]);
        let daemon = Daemon::serve(Path::new(env!("CARGO_BIN_EXE_sardinepickd")), &ini);
        let site = Self { set, daemon, front: addresses[0] };
        wait_until("the node serves requests", async || {
            if tokio::net::TcpStream::connect(site.front).await.is_err() {
                return false;
            }
            site.send("/board/a", "ready").await.status == 200
        })
        .await;
        site
    }

    fn set_faults(&self, faults: Faults) {
        self.set.runners.iter().for_each(|runner| runner.set_faults(faults));
    }

    async fn write(&self, path: &str, id: &str) -> RawCaller {
        let mut caller = RawCaller::connect(self.front).await;
        assert!(caller.write(&request(path, id).bytes()).await);
        caller
    }

    async fn send(&self, path: &str, id: &str) -> RawReply {
        self.write(path, id).await.read_reply(DEADLINE).await
    }

    async fn wait_run(&self, id: &str) {
        let ran = |runner: &Runner| runner.run_count(id) > 0;
        wait_until("a runner runs the request", async || self.set.runners.iter().any(ran)).await;
    }
}

fn request<'a>(path: &'a str, id: &'a str) -> RawRequest<'a> {
    let headers: &[_] = if path.starts_with("/tally") || path.starts_with("/count") {
        &STREAM_HEADERS
    } else {
        &[]
    };
    RawRequest { headers, deadline: DEADLINE, ..RawRequest::new(path, id) }
}

/// Sends a request that outlasts the node shortly before that closes its listener.
async fn assert_refused_at_once(path: &str, kept: bool) {
    let site = Site::start().await;
    let mut caller = RawCaller::connect(site.front).await;
    if kept {
        let reply = caller.send(&request("/eggs/a", "first"), DEADLINE).await;
        assert_eq!((reply.status, reply.is_complete()), (200, true));
    }
    site.set_faults(Faults {
        response_delay: if path.starts_with("/eggs") { LONG } else { Duration::ZERO },
        event_interval: EVENT_INTERVAL,
        ..Faults::default()
    });
    let began = Instant::now();
    site.daemon.terminate();
    sleep_until(began + BEFORE_CLOSE).await;
    let sent = Instant::now();
    let reply = caller.send(&request(path, "r1"), DEADLINE).await;
    let (took, end) = (sent.elapsed(), reply.end);
    assert!(reply.is_complete(), "{end:?} with status {} after {took:?}", reply.status);
    assert_eq!(reply.status, 503);
    assert!(took < AT_ONCE, "refused after {took:?}");
    assert!(reply.header("retry-after").is_some(), "callers are told when to come back");
    sleep(AT_ONCE).await;
    let ran = site.set.runners.iter().any(|runner| runner.has_worked_on("r1"));
    assert!(!ran, "a refused request has not run");
}

/// Guards against a stream that is cut at the exit of a node that accepted it while stopping.
#[tokio::test]
async fn stream_longer_than_stop_refused() {
    assert_refused_at_once("/tally/a", false).await;
}

/// Guards against the same for a stream that may be resumed, on a connection that was kept.
#[tokio::test]
async fn resumable_stream_on_kept_connection_longer_than_stop_refused() {
    assert_refused_at_once("/count/a", true).await;
}

/// Guards against a request whose connection closes without a response at the exit of the node.
#[tokio::test]
async fn plain_request_longer_than_stop_answered() {
    let site = Site::start().await;
    site.set_faults(Faults { response_delay: LONG, ..Faults::default() });
    let began = Instant::now();
    site.daemon.terminate();
    sleep_until(began + BEFORE_CLOSE).await;
    let reply = site.send("/eggs/a", "r1").await;
    assert!(reply.is_complete(), "{:?} with status {}", reply.end, reply.status);
    let ran = site.set.runners.iter().any(|runner| runner.has_worked_on("r1"));
    assert_eq!(reply.status, if ran { 504 } else { 503 });
}

/// Sends a request before the stop that has no response when the node exits.
async fn assert_answered_before_exit(path: &str) {
    let site = Site::start().await;
    site.set_faults(Faults { hang: true, ..Faults::default() });
    let mut caller = site.write(path, "r1").await;
    site.wait_run("r1").await;
    site.daemon.terminate();
    let reply = caller.read_reply(DEADLINE).await;
    assert!(reply.is_complete(), "{:?} with status {}", reply.end, reply.status);
    assert_eq!(reply.status, 504, "the request may have run");
}

/// Guards against a request that was accepted before the stop, and ends without a response at the exit.
#[tokio::test]
async fn plain_request_of_slow_runner_answered_before_exit() {
    assert_answered_before_exit("/eggs/a").await;
}

/// Guards against a stream without events that ends without a response at the exit.
#[tokio::test]
async fn stream_without_events_answered_before_exit() {
    assert_answered_before_exit("/tally/a").await;
}

/// Guards against a request that is lost because its body has not arrived when the node exits.
#[tokio::test]
async fn half_read_body_refused_before_exit() {
    let site = Site::start().await;
    let body = [b'x'; 20_000];
    let request = RawRequest { body: &body, ..request("/eggs/a", "r1") };
    let mut caller = RawCaller::connect(site.front).await;
    assert!(caller.write(&request.bytes()[..10_000]).await);
    sleep(Duration::from_millis(200)).await;
    site.daemon.terminate();
    let reply = caller.read_reply(DEADLINE).await;
    assert!(reply.is_complete(), "{:?} with status {}", reply.end, reply.status);
    assert_eq!(reply.status, 503);
}

/// Guards against a stream that is accepted, by the time that others took, once callers should be gone,
/// and is cut.
#[tokio::test]
async fn stream_after_lookups_longer_than_others_refused() {
    let site = Site::start().await;
    assert_eq!(site.send("/tally/a", "s1").await.status, 200);
    site.set_faults(Faults { event_interval: EVENT_INTERVAL, ..Faults::default() });
    let began = Instant::now();
    site.daemon.terminate();
    sleep_until(began + AFTER_LOOKUPS).await;
    let reply = site.send("/tally/a", "s2").await;
    assert_eq!((reply.status, reply.is_complete()), (503, true));
    let ran = site.set.runners.iter().any(|runner| runner.has_worked_on("s2"));
    assert!(!ran, "a refused request has not run");
}

/// Guards against a request that is run too late because its body has arrived long after its head.
#[tokio::test]
async fn long_upload_checked_again_refused() {
    let site = Site::start().await;
    site.set_faults(Faults { event_interval: Duration::from_millis(60), ..Faults::default() });
    assert_eq!(site.send("/tally/a", "s1").await.status, 200);
    let body = [b'x'; 20_000];
    let request = RawRequest { body: &body, ..request("/tally/a", "s2") };
    let bytes = request.bytes();
    let (first, rest) = bytes.split_at(request.head().len() + 10_000);
    let began = Instant::now();
    site.daemon.terminate();
    sleep_until(began + Duration::from_millis(300)).await;
    let mut caller = RawCaller::connect(site.front).await;
    assert!(caller.write(first).await);
    sleep_until(began + GRACE * 3 / 4).await;
    assert!(caller.write(rest).await);
    let reply = caller.read_reply(DEADLINE).await;
    assert!(reply.is_complete(), "{:?} with status {}", reply.end, reply.status);
    assert_eq!(reply.status, 503);
    let ran = site.set.runners.iter().any(|runner| runner.has_worked_on("s2"));
    assert!(!ran, "a refused request has not run");
}

/// Guards against refusals of requests that a stopping node can still serve whole.
#[tokio::test]
async fn short_request_with_long_deadline_served_while_stopping() {
    let site = Site::start().await;
    for n in 0..3 {
        assert_eq!(site.send("/tally/a", &format!("s{n}")).await.status, 200);
        assert_eq!(site.send("/eggs/a", &format!("e{n}")).await.status, 200);
    }
    let began = Instant::now();
    site.daemon.terminate();
    sleep_until(began + Duration::from_millis(700)).await;
    for (path, id) in [("/tally/a", "s9"), ("/eggs/a", "e9")] {
        let reply = site.send(path, id).await;
        assert_eq!((reply.status, reply.is_complete()), (200, true), "{path}");
    }
    assert!(began.elapsed() < GRACE / 2, "sent too late");
}
