//! Crowds of callers that the node does not control, against its own processes with the settings
//! that the platform makes of the project's template.

use std::net::SocketAddr;
use std::path::Path;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::Duration;

use futures_util::future::join_all;
use sardinepick_testutils::cluster::{free_address, own_ip, wait_until};
use sardinepick_testutils::crowd::{self, End, Framing, STAY, Sent};
use sardinepick_testutils::fleet::deployment::{DEFAULT_DATA_CENTRE, Deployment, configuration};
use sardinepick_testutils::fleet::raw_caller::{RawCaller, RawReply, RawRequest};
use sardinepick_testutils::fleet::runner::Faults;
use sardinepick_testutils::fleet::template::{Fields, render};
use sardinepick_testutils::process::Daemon;
use serde_json::json;
use tokio::io::AsyncReadExt as _;
use tokio::sync::{Mutex, MutexGuard};
use tokio::time::sleep;

const TEMPLATE: &str = include_str!("../../platform/node.ini");
/// The memory of the VM, in megabytes.
const MEMORY_MB: u64 = 64;
const DESCRIPTORS: usize = 1_024;
/// The path of the crowd's requests.
const PATH: &str = "/board/a";
const MAX_BODY: usize = 4 << 20;
const SAMPLE_PERIOD: Duration = Duration::from_millis(25);
/// How long an ordinary caller waits for the answer to one attempt.
const READ_LIMIT: Duration = Duration::from_secs(10);

/// The tests run one at a time, as each measures a process.
static ONE_AT_A_TIME: Mutex<()> = Mutex::const_new(());

/// The process of a node in its VM.
struct Vm {
    daemon: Daemon,
    /// For callers, readiness checks, look-ups, other nodes and metrics.
    addresses: [SocketAddr; 5],
}

/// Nodes as processes before one plain runner.
struct Setup {
    vms: Vec<Vm>,
    set: Deployment,
    _guard: MutexGuard<'static, ()>,
}

impl Setup {
    async fn new(nodes: usize) -> Self {
        let guard = ONE_AT_A_TIME.lock().await;
        let set = Deployment::new().await.with_plain(1).await;
        let mut config = configuration(2);
        config["limits"]["maxBodyBytes"] = json!(MAX_BODY);
        config["limits"]["idleTimeoutMs"] = json!(60_000);
        config["limits"]["headerTimeoutMs"] = json!(30_000);
        for route in config["routes"].as_array_mut().expect("routes") {
            route["timeoutMs"] = json!(20_000);
        }
        set.store.put("config", "main", &config);
        let mut vms: Vec<Vm> = Vec::new();
        for at in 0..nodes {
            let addresses = [(); 5].map(|()| free_address(own_ip()));
            let seed = vms.first().map_or(addresses[3], |vm| vm.addresses[3]);
            let ini = settings(&format!("edge-{at}"), &addresses, seed, set.store.address());
            let daemon = Daemon::serve(Path::new(env!("CARGO_BIN_EXE_sardinepickd")), &ini);
            vms.push(Vm { daemon, addresses });
        }
        let setup = Self { vms, set, _guard: guard };
        for at in 0..nodes {
            let front = setup.vms[at].addresses[0];
            let id = format!("ready-{at}");
            wait_until("the node serves requests", async || {
                ordinary_attempt(front, &id).await.is_some_and(|reply| reply.status == 200)
            })
            .await;
        }
        setup
    }

    fn front(&self) -> SocketAddr {
        self.vms[0].addresses[0]
    }

    /// Runs a crowd against the first node, with an ordinary caller beside it and one after it, and
    /// checks that each process stays within its VM.
    async fn withstand(&mut self, crowd: impl Future<Output = ()>) {
        let front = self.front();
        let at_rest = self.vms[0].daemon.usage().rss_kb >> 10;
        let (mut memory, mut descriptors) = (0, 0);
        let beside = async {
            tokio::join!(crowd, ordinary(front, "beside"));
        };
        let mut beside = std::pin::pin!(beside);
        loop {
            tokio::select! {
                () = beside.as_mut() => break,
                () = sleep(SAMPLE_PERIOD) => {
                    for vm in &self.vms {
                        let unread = vm.daemon.unread(&vm.addresses);
                        memory = memory.max((vm.daemon.usage().rss_kb << 10) + unread);
                        descriptors = descriptors.max(vm.daemon.descriptors());
                    }
                }
            }
        }
        let memory = memory >> 20;
        println!("at rest {at_rest} MB, at most {memory} MB and {descriptors} descriptors");
        for vm in &mut self.vms {
            assert_eq!(vm.daemon.exit_status(), None, "a process has ended");
        }
        wait_until("the node has closed the crowd's connections", async || {
            open_connections(self.vms[0].addresses[4]).await == 0
        })
        .await;
        let reply = ordinary_attempt(front, "after").await.expect("an answer");
        assert_eq!((reply.status, reply.text()), (200, "answer to after".to_owned()));
        let after = self.vms[0].daemon.usage().rss_kb >> 10;
        println!("after the crowd {after} MB");
        assert!(memory < MEMORY_MB, "{memory} of {MEMORY_MB} MB");
        assert!(descriptors < DESCRIPTORS, "{descriptors} of {DESCRIPTORS} descriptors");
    }
}

/// The settings that the platform makes of the template.
fn settings(
    name: &str,
    addresses: &[SocketAddr; 5],
    seed: SocketAddr,
    store: SocketAddr,
) -> String {
    let [front, ready, lookup, peer, metrics] = addresses;
    let fields = Fields::from([
        ("node", name.to_owned()),
        ("zone", DEFAULT_DATA_CENTRE.to_owned()),
        ("listen.front", front.to_string()),
        ("listen.ready", ready.to_string()),
        ("listen.directory", lookup.to_string()),
        ("listen.control", peer.to_string()),
        ("ip", metrics.ip().to_string()),
        ("seeds", seed.to_string()),
        ("platform.address", store.to_string()),
        ("bounds.retryBudgetRatio", "0.2".to_owned()),
        ("bounds.retryBudgetSlack", "52".to_owned()),
        ("bounds.budgetWindowS", "10".to_owned()),
        ("bounds.graceS", "8".to_owned()),
        ("bounds.ttl_max_s", "5".to_owned()),
        ("bounds.leaseMs", "3000".to_owned()),
        ("limits.memoryMb", MEMORY_MB.to_string()),
        ("limits.maxFds", DESCRIPTORS.to_string()),
        ("limits.linkMbps", "1000.0".to_owned()),
    ]);
    let port = format!(":{}", metrics.port());
    render(TEMPLATE, &fields).replace(":9464", &port)
}

async fn ordinary_attempt(front: SocketAddr, id: &str) -> Option<RawReply> {
    let mut caller = RawCaller::try_connect(front).await.ok()?;
    Some(caller.send(&RawRequest::new("/board/a", id), READ_LIMIT).await)
}

/// Sends an ordinary request as callers do: again on a new connection after a refusal or a
/// connection that was closed.
async fn ordinary(front: SocketAddr, id: &str) {
    // The crowd is there first.
    sleep(STAY / 2).await;
    let attempts = AtomicU32::new(0);
    wait_until("an ordinary request is answered", async || {
        let attempt = attempts.fetch_add(1, Ordering::Relaxed);
        let reply = ordinary_attempt(front, &format!("{id}-{attempt}")).await;
        reply.is_some_and(|reply| reply.status == 200)
    })
    .await;
}

async fn open_connections(metrics: SocketAddr) -> i64 {
    let Ok(mut caller) = RawCaller::try_connect(metrics).await else { return -1 };
    let request = b"GET /metrics HTTP/1.1\r\nhost: n\r\n\r\n";
    if !caller.write(request).await {
        return -1;
    }
    let text = caller.read_reply(READ_LIMIT).await.text();
    let line = text.lines().find(|l| l.contains("caller_connections{") && l.contains("\"front\""));
    line.and_then(|l| l.rsplit(' ').next()?.parse().ok()).unwrap_or(-1)
}

/// Guards against bodies that are held without a bound while their last byte is missing.
#[tokio::test]
async fn bodies_of_known_length_unended_bounded() {
    let mut setup = Setup::new(1).await;
    let framing = Framing::Length(MAX_BODY);
    let sent = Sent { path: PATH, framing, bytes: MAX_BODY - 1, write: MAX_BODY, end: End::Stays };
    setup.withstand(crowd::run(setup.front(), 32, sent)).await;
}

/// Guards against bodies that arrive in small pieces and take more than their length.
#[tokio::test]
async fn bodies_of_known_length_in_pieces_bounded() {
    let mut setup = Setup::new(1).await;
    let framing = Framing::Length(MAX_BODY);
    let sent = Sent { path: PATH, framing, bytes: MAX_BODY - 1, write: 4 << 10, end: End::Stays };
    setup.withstand(crowd::run(setup.front(), 32, sent)).await;
}

/// Guards against bodies of unknown length that together hold all space and wait for more.
#[tokio::test]
async fn bodies_in_large_chunks_unended_bounded() {
    let mut setup = Setup::new(1).await;
    let framing = Framing::Chunks(64 << 10);
    let sent = Sent { path: PATH, framing, bytes: MAX_BODY, write: MAX_BODY, end: End::Stays };
    setup.withstand(crowd::run(setup.front(), 32, sent)).await;
}

/// Guards against chunks of one byte that each take the space of many.
#[tokio::test]
async fn bodies_in_chunks_of_one_byte_bounded() {
    let mut setup = Setup::new(1).await;
    let framing = Framing::Chunks(1);
    let sent = Sent { path: PATH, framing, bytes: 1 << 20, write: 64 << 10, end: End::Stays };
    setup.withstand(crowd::run(setup.front(), 6, sent)).await;
}

/// Guards against bodies over the limit that are read on and on.
#[tokio::test]
async fn bodies_over_limit_unannounced_bounded() {
    let mut setup = Setup::new(1).await;
    let framing = Framing::Chunks(64 << 10);
    let sent = Sent { path: PATH, framing, bytes: 8 * MAX_BODY, write: 1 << 20, end: End::Stays };
    setup.withstand(crowd::run(setup.front(), 24, sent)).await;
}

/// Guards against bodies over the limit that are announced and sent all the same.
#[tokio::test]
async fn bodies_over_limit_announced_bounded() {
    let mut setup = Setup::new(1).await;
    let framing = Framing::Length(4 << 30);
    let sent = Sent { path: PATH, framing, bytes: 4 * MAX_BODY, write: 1 << 20, end: End::Stays };
    setup.withstand(crowd::run(setup.front(), 32, sent)).await;
}

/// Guards against bodies that stay held after their callers have gone.
#[tokio::test]
async fn bodies_of_callers_that_close_released() {
    let mut setup = Setup::new(1).await;
    let framing = Framing::Length(MAX_BODY);
    let sent = Sent { path: PATH, framing, bytes: MAX_BODY - 1, write: MAX_BODY, end: End::Closes };
    setup.withstand(crowd::run(setup.front(), 32, sent)).await;
}

/// Guards against callers that begin many bodies and send little of each.
#[tokio::test]
async fn small_bodies_unended_bounded() {
    let mut setup = Setup::new(1).await;
    let framing = Framing::Length(2 << 10);
    let sent = Sent { path: PATH, framing, bytes: 1 << 10, write: 1 << 10, end: End::Stays };
    let bytes = [sent.head("crowd"), sent.body()].concat();
    setup.withstand(crowd::hold(&[setup.front()], 700, &bytes)).await;
}

/// Guards against heads that are never completed, of nearly the largest size.
#[tokio::test]
async fn heads_unended_bounded() {
    let mut setup = Setup::new(1).await;
    let head =
        format!("POST /board/a HTTP/1.1\r\nhost: kitchen.example\r\nx-a: {}", "a".repeat(15 << 10));
    setup.withstand(crowd::hold(&[setup.front()], 700, head.as_bytes())).await;
}

/// Guards against connections that take more than is counted for them, and against an ordinary
/// caller that finds no connection beside them.
#[tokio::test]
async fn idle_connections_bounded() {
    let mut setup = Setup::new(1).await;
    setup.withstand(crowd::hold(&[setup.front()], 1_000, &[])).await;
}

/// Guards against connections to the ports that are not for requests, which take the descriptors
/// of callers.
#[tokio::test]
async fn idle_connections_to_other_ports_bounded() {
    let mut setup = Setup::new(1).await;
    let [_, others @ ..] = setup.vms[0].addresses;
    setup.withstand(crowd::hold(&others, 1_200, b"GET /api/look")).await;
}

/// Guards against pipelined bytes behind a request in progress that pile up unread.
#[tokio::test]
async fn bytes_behind_request_bounded() {
    let mut setup = Setup::new(1).await;
    let front = setup.front();
    let response_delay = Duration::from_millis(200);
    let faults = Faults { response_delay, ..Faults::default() };
    setup.set.runners[0].set_faults(faults);
    let rest = vec![b'y'; 8 << 20];
    let rest = &rest[..];
    let callers = (0..48).map(async |at| {
        let request = RawRequest::new("/board/a", "").bytes();
        let text = String::from_utf8(request).expect("text");
        let head = text.replace("request-id: ", &format!("request-id: behind-{at}"));
        let stream = crowd::send(front, head.as_bytes(), rest, 1 << 20).await;
        sleep(STAY).await;
        drop(stream);
    });
    setup.withstand(async { drop(join_all(callers).await) }).await;
}

/// Guards against a crowd at a node that is full while its peer holds what it relays.
#[tokio::test]
async fn bodies_at_two_nodes_bounded() {
    let mut setup = Setup::new(2).await;
    let framing = Framing::Length(MAX_BODY);
    let sent = Sent { path: PATH, framing, bytes: MAX_BODY - 1, write: MAX_BODY, end: End::Stays };
    let fronts = [0, 1].map(|at: usize| setup.vms[at].addresses[0]);
    let both = async {
        tokio::join!(crowd::run(fronts[0], 24, sent), crowd::run(fronts[1], 24, sent));
    };
    setup.withstand(both).await;
}

/// Guards against bounds that a caller within the limits of the configuration meets in calm.
#[tokio::test]
async fn largest_body_in_calm_served() {
    let setup = Setup::new(1).await;
    let whole = |framing: Framing| {
        let sent = Sent { path: PATH, framing, bytes: MAX_BODY, write: 1 << 20, end: End::Stays };
        let mut body = sent.body();
        if matches!(framing, Framing::Chunks(_)) {
            body.extend_from_slice(b"0\r\n\r\n");
        }
        (sent, body)
    };
    for (at, framing) in [Framing::Length(MAX_BODY), Framing::Chunks(64 << 10), Framing::Chunks(64)]
        .into_iter()
        .enumerate()
    {
        let (sent, body) = whole(framing);
        let head = sent.head(&format!("sound-{at}"));
        let mut stream =
            crowd::send(setup.front(), &head, &body, sent.write).await.expect("a connection");
        let mut status = [0; 12];
        stream.read_exact(&mut status).await.expect("a response");
        assert_eq!(&status, b"HTTP/1.1 200");
    }
    let memory = setup.vms[0].daemon.usage().rss_kb >> 10;
    assert!(memory < MEMORY_MB, "{memory} of {MEMORY_MB} MB");
}
