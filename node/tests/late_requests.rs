//! Requests that a node process receives while it stops: each gets a complete response before the
//! process exits.

use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

use sardinepick_testutils::cluster::{free_address, own_ip, wait_until};
use sardinepick_testutils::fleet::deployment::{Deployment, configuration};
use sardinepick_testutils::fleet::raw_caller::{End, RawCaller, RawReply, RawRequest};
use sardinepick_testutils::fleet::runner::Faults;
use sardinepick_testutils::fleet::soak::{node_settings, request_headers, with_grace};
use sardinepick_testutils::fleet::stop::{Loss, Stop};
use sardinepick_testutils::process::Daemon;
use serde_json::{Value, json};
use tokio::time::{Instant, sleep_until};

/// A safe, an unsafe, a resumable and a not resumable route.
const PATHS: [&str; 4] = ["/board/a", "/eggs/a", "/count/a", "/tally/a"];
const EVENTS: u32 = 12;
/// The size of a plain response, and of each event.
const PADDING_BYTES: usize = 2 << 10;
/// How much later than its deadline a request may get its response.
const DEADLINE_SLACK: Duration = Duration::from_millis(500);
/// A request that was written less than this before the connection ended crosses its close.
const CROSSING: Duration = Duration::from_millis(100);
/// The size of the receive buffer of a caller that reads slowly, and its pause between reads.
const SLOW_BUFFER_BYTES: u32 = 4 << 10;
const SLOW_READ_PAUSE: Duration = Duration::from_millis(50);

/// A node that stops while requests arrive.
#[derive(Clone, Copy)]
struct Case {
    grace: Duration,
    /// The deadline of requests and the timeout of their routes.
    limit: Duration,
    /// How long runners take for a request.
    work: Duration,
    /// The moments after SIGTERM at which requests are sent, the last one excluded.
    moments: (Duration, Duration),
    /// The time between two of these moments.
    step: Duration,
    /// The smallest share of the requests that are served.
    min_served: f64,
}

/// Who sends a request.
#[derive(Clone, Copy, Debug)]
enum Client {
    /// On a connection that has served a request before.
    Kept,
    /// On a new connection.
    New,
    /// On a kept connection that is read slowly.
    Slow,
}

const CLIENTS: [Client; 3] = [Client::Kept, Client::New, Client::Slow];

fn config(limit: Duration) -> Value {
    let mut config = configuration(1);
    for route in config["routes"].as_array_mut().expect("it has routes") {
        route["timeoutMs"] = json!(u64::try_from(limit.as_millis()).expect("it is short"));
    }
    config
}

async fn connect(front: SocketAddr, client: Client, id: &str) -> Option<RawCaller> {
    let mut caller = match client {
        Client::New => return RawCaller::try_connect(front).await.ok(),
        Client::Kept => RawCaller::connect(front).await,
        Client::Slow => {
            let mut caller = RawCaller::connect_with_buffer(front, SLOW_BUFFER_BYTES).await;
            caller.set_read_pause(SLOW_READ_PAUSE);
            caller
        }
    };
    let id = format!("{id}-first");
    let reply = caller.send(&RawRequest::new("/board/a", &id), Duration::from_secs(3)).await;
    assert_eq!(reply.status, 200, "{id}: {:?}", reply.end);
    Some(caller)
}

/// A request and what came of it.
struct Sent {
    id: String,
    written: Instant,
    reply: RawReply,
    ended: Instant,
}

/// Sends a request at a moment. `None` if it does not reach the node.
async fn send(
    front: SocketAddr,
    id: String,
    path: &'static str,
    client: Client,
    at: Instant,
    limit: Duration,
) -> Option<Sent> {
    let early = match client {
        Client::New => None,
        Client::Kept | Client::Slow => connect(front, client, &id).await,
    };
    sleep_until(at).await;
    let mut caller = match early {
        Some(caller) => caller,
        None => connect(front, client, &id).await?,
    };
    if caller.is_closed() {
        return None;
    }
    let headers = request_headers(path);
    let request = RawRequest { headers, deadline: limit, ..RawRequest::new(path, &id) };
    if !caller.write(&request.bytes()).await {
        return None;
    }
    let written = Instant::now();
    let reply = caller.read_reply(limit + DEADLINE_SLACK).await;
    Some(Sent { id, written, reply, ended: Instant::now() })
}

impl Case {
    /// Stops a node and sends it requests meanwhile.
    async fn check(self) {
        let set = Deployment::new().await.with_plain(8).await.with_engines(0, 4).await;
        set.store.put("config", "main", &config(self.limit));
        let addresses = [(); 5].map(|()| free_address(own_ip()));
        let ini = node_settings("edge-0", &addresses, set.store.address(), &[]);
        let exe = Path::new(env!("CARGO_BIN_EXE_sardinepickd"));
        let mut daemon = Daemon::serve(exe, &with_grace(&ini, self.grace));
        let front = addresses[0];
        for path in PATHS {
            let headers = request_headers(path);
            let request = RawRequest { headers, ..RawRequest::new(path, "ready") };
            wait_until("the node serves requests", async || {
                let Ok(mut caller) = RawCaller::try_connect(front).await else { return false };
                caller.send(&request, Duration::from_secs(3)).await.status == 200
            })
            .await;
        }
        // Kept connections are made before the runners become slow.
        let terminate_at = Instant::now() + Duration::from_millis(800);
        let mut tasks = Vec::new();
        let mut moment = self.moments.0;
        while moment < self.moments.1 {
            for (path, client) in PATHS.iter().flat_map(|path| CLIENTS.map(|c| (*path, c))) {
                let id = format!("{}{}-{client:?}", moment.as_millis(), path.replace('/', "-"));
                let at = terminate_at + moment;
                tasks.push(tokio::spawn(send(front, id, path, client, at, self.limit)));
            }
            moment += self.step;
        }
        sleep_until(terminate_at - Duration::from_millis(100)).await;
        for runner in &set.runners {
            let interval = self.work / EVENTS;
            let delay = if runner.is_engine() { interval } else { self.work };
            let faults = Faults {
                response_delay: delay,
                event_interval: interval,
                padding: PADDING_BYTES,
                ..Faults::default()
            };
            runner.set_faults(faults);
        }
        sleep_until(terminate_at).await;
        let stop = Stop { terminated: Instant::now(), grace: self.grace };
        daemon.terminate();
        let (mut total, mut served, mut lost) = (0, 0, Vec::new());
        for task in tasks {
            let Some(sent) = task.await.expect("a caller ends") else { continue };
            let Sent { id, written, reply, ended } = &sent;
            let ran = set.runners.iter().any(|runner| runner.has_worked_on(id));
            if reply.end == End::Closed && reply.status == 0 && *ended < *written + CROSSING && !ran
            {
                continue;
            }
            total += 1;
            served += u32::from(reply.is_complete() && reply.status == 200);
            let loss = Loss { id, written: *written, reply, ended: *ended };
            if !reply.is_complete() && !stop.excuses(&loss, &set.runners) {
                let since = ended.duration_since(stop.terminated);
                lost.push(format!("{id}: {:?} at {since:?}, status {}", reply.end, reply.status));
            }
        }
        tokio::task::spawn_blocking(move || daemon.terminate_and_wait()).await.expect("it exits");
        println!("{} of {total} lost, {served} served", lost.len());
        assert!(total > 0, "no request was sent");
        assert!(lost.is_empty(), "{} of {total} lost:\n  {}", lost.len(), lost.join("\n  "));
        let is_enough = f64::from(served) >= f64::from(total) * self.min_served;
        assert!(is_enough, "{served} of {total} served");
    }
}

const fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// Guards against requests that are taken on with more time than the node has left, and cut.
#[tokio::test(flavor = "multi_thread")]
async fn requests_sent_after_sigterm_slow_runners_complete() {
    let (moments, step) = ((ms(2_650), ms(3_700)), ms(150));
    let (grace, limit, work) = (ms(8_000), ms(6_000), ms(5_200));
    Case { grace, limit, work, moments, step, min_served: 0.0 }.check().await;
}

/// As with slow runners, in a short grace period.
#[tokio::test(flavor = "multi_thread")]
async fn requests_sent_after_sigterm_short_grace_complete() {
    let (moments, step) = ((ms(50), ms(1_900)), ms(150));
    let (grace, limit, work) = (ms(4_000), ms(3_000), ms(2_600));
    Case { grace, limit, work, moments, step, min_served: 0.0 }.check().await;
}

/// Guards against requests without any response from a node that exits before their deadline.
#[tokio::test(flavor = "multi_thread")]
async fn requests_sent_after_sigterm_deadline_beyond_grace_complete() {
    let (moments, step) = ((ms(0), ms(1_900)), ms(300));
    let (grace, limit, work) = (ms(4_000), ms(12_000), ms(9_000));
    Case { grace, limit, work, moments, step, min_served: 0.0 }.check().await;
}

/// Guards against requests that are refused or cut although the node has the time for them.
#[tokio::test(flavor = "multi_thread")]
async fn requests_sent_after_sigterm_short_work_served() {
    let (moments, step) = ((ms(0), ms(3_700)), ms(200));
    let (grace, limit, work) = (ms(8_000), ms(1_500), ms(300));
    Case { grace, limit, work, moments, step, min_served: 0.9 }.check().await;
}
