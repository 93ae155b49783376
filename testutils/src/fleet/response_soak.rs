//! A soak test of spoilt responses. The real program runs as processes.
//!
//! Guarantee: a request that must not be repeated runs at most once, and not at all if its status says
//! so; an answer is the whole answer of one run; no two runs of a request go on beside each other; a
//! node's memory stays within that of the smallest VM. Responses are repeated, cut, delayed, replaced
//! by bytes without end, or lost; runners are full; nodes are paused, killed and stopped, if the test
//! says so.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use rand::rngs::StdRng;
use rand::{RngExt as _, SeedableRng as _};
use tokio::time::{Instant, sleep};

use crate::cluster::any_address;
use crate::fleet::caller::{Caller, Reply, RequestSpec};
use crate::fleet::deployment::{
    DEFAULT_DATA_CENTRE, DEFAULT_VERSION, MODEL_SERVICE, PLAIN_SERVICE, configuration,
};
use crate::fleet::overlap::Overlap;
use crate::fleet::runner::{Faults, Kind, Runner, run_counts};
use crate::fleet::soak::{
    PATHS, Report, SoakOptions, check_reply, plan_nodes, request_headers, wait_for_recovery,
};
use crate::fleet::spoiler::{Spoil, Spoiler};
use crate::fleet::store::Store;
use crate::process::Daemon;

/// The share of responses that are spoilt.
const SPOILT: f64 = 0.15;
/// The time between the events of a stream, by runner in turn. The streams of some last for long
/// enough to go on beside a later run.
const EVENT_INTERVALS: [Duration; 2] = [Duration::from_millis(10), Duration::from_millis(100)];
/// The memory of the smallest VM.
const MAX_MEMORY_KB: u64 = 160 << 10;
/// The shortest deadline of requests of callers, and the longest.
const DEADLINES_MS: std::ops::Range<u64> = 600..3_000;
/// How long after the last request calls may go on.
const SETTLE_TIME: Duration = Duration::from_millis(1_500);

/// What is disturbed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Disturbance {
    /// Responses of runners.
    Responses,
    /// Responses of runners, and processes of nodes.
    ResponsesAndNodes,
}

struct Node {
    ini: String,
    daemon: Option<Daemon>,
}

struct Soak {
    exe: PathBuf,
    runners: Vec<(Runner, Spoiler)>,
    nodes: Vec<Node>,
    fronts: Vec<SocketAddr>,
    /// Whether responses are spoilt.
    spoils: Arc<AtomicBool>,
    max_memory_kb: u64,
}

/// Draws what happens to a response.
fn draw(rng: &mut StdRng) -> Spoil {
    if !rng.random_bool(SPOILT) {
        return Spoil::None;
    }
    let interval = Duration::from_millis(rng.random_range(20..200));
    match rng.random_range(0..18) {
        0 => Spoil::Repeat { after: rng.random_range(0..4) },
        1 => Spoil::RepeatTwice,
        2..5 => Spoil::RepeatStart(rng.random_range(1..200)),
        5 => Spoil::RepeatNow,
        6 => Spoil::Cut(rng.random_range(1..400)),
        7 => Spoil::ResetBefore,
        8 => Spoil::ResetAfter,
        9 => Spoil::Delay(Duration::from_millis(rng.random_range(50..800))),
        10 => Spoil::Reject,
        11 => Spoil::RejectEndless,
        12 => Spoil::RejectSlow(interval),
        13 => Spoil::EndlessBody,
        14 => Spoil::SlowBody(interval),
        15 => Spoil::EndlessHead,
        16 => Spoil::EndlessInformational,
        _ => Spoil::EndlessGarbage,
    }
}

impl Soak {
    async fn start(exe: &Path, options: SoakOptions) -> std::io::Result<Self> {
        let store = Store::start(any_address()).await?;
        store.put("config", "main", &configuration(1));
        let spoils = Arc::new(AtomicBool::new(false));
        let kinds = [
            (PLAIN_SERVICE, None, 4, 2),
            (MODEL_SERVICE, Some("prefill"), 1, 8),
            (MODEL_SERVICE, Some("decode"), 3, 4),
        ];
        let mut runners = Vec::new();
        for (service, stage, count, slots) in kinds {
            for _ in 0..count {
                let at = runners.len();
                let (service, data_centre) = (service.to_owned(), DEFAULT_DATA_CENTRE.to_owned());
                let kind =
                    Kind { service, data_centre, stage, events: 12, version: DEFAULT_VERSION };
                let runner = Runner::start(&format!("i-{at}"), any_address(), kind, &store).await?;
                let response_delay = Duration::from_millis(15);
                let event_interval = EVENT_INTERVALS[at % EVENT_INTERVALS.len()];
                runner.set_faults(Faults { response_delay, event_interval, ..Faults::default() });
                let mut rng = StdRng::seed_from_u64(options.seed ^ (at as u64) << 40);
                let spoils = spoils.clone();
                let choice = move |_: &str| {
                    let spoil = draw(&mut rng);
                    if spoils.load(Ordering::Relaxed) { spoil } else { Spoil::None }
                };
                let spoiler = Spoiler::start(runner.address(), slots, choice).await?;
                runner.publish_address(spoiler.address);
                runners.push((runner, spoiler));
            }
        }
        let (mut nodes, mut fronts) = (Vec::new(), Vec::new());
        for (ini, front) in plan_nodes(options.nodes, store.address()) {
            fronts.push(front);
            let daemon = Some(Daemon::serve(exe, &ini));
            nodes.push(Node { ini, daemon });
        }
        Ok(Self { exe: exe.to_owned(), runners, nodes, fronts, spoils, max_memory_kb: 0 })
    }

    /// Pauses a node, or ends it and starts it again.
    async fn disturb_node(&mut self, rng: &mut StdRng) {
        let at = rng.random_range(0..self.nodes.len());
        let pause = Duration::from_millis(rng.random_range(20..900));
        let node = &mut self.nodes[at];
        let Some(mut daemon) = node.daemon.take() else { return };
        match rng.random_range(0..4) {
            0 => daemon.kill(),
            1 => {
                let stopped = tokio::task::spawn_blocking(move || {
                    daemon.terminate_and_wait();
                    daemon
                });
                daemon = stopped.await.expect("the process is waited for");
            }
            _ => {
                daemon.pause();
                sleep(pause).await;
                daemon.resume();
                node.daemon = Some(daemon);
                return;
            }
        }
        drop(daemon);
        node.daemon = Some(Daemon::serve(&self.exe, &node.ini));
    }

    fn note_memory(&mut self) {
        let used = self.nodes.iter().filter_map(|node| Some(node.daemon.as_ref()?.usage().rss_kb));
        self.max_memory_kb = self.max_memory_kb.max(used.max().unwrap_or_default());
    }

    fn check(&self, replies: &[(String, &'static str, Reply)], options: Disturbance) -> Report {
        let mut report = Report { memory_kb: self.max_memory_kb, ..Report::default() };
        let runners: Vec<Runner> = self.runners.iter().map(|(runner, _)| runner.clone()).collect();
        let runs = run_counts(&runners);
        for (id, path, reply) in replies {
            check_reply(id, path, reply, runs.get(id).copied().unwrap_or(0) as u64, &mut report);
        }
        if options == Disturbance::Responses {
            let calls = self.runners.iter().flat_map(|(_, spoiler)| spoiler.calls());
            let overlaps = Overlap::find(calls, Instant::now());
            report.violations.extend(overlaps.iter().map(ToString::to_string));
        }
        if self.max_memory_kb > MAX_MEMORY_KB {
            report.violations.push(format!("memory: {} KB", self.max_memory_kb));
        }
        report.faults = self.runners.iter().map(|(_, spoiler)| spoiler.spoilt()).sum();
        report
    }
}

/// Runs a soak test.
///
/// # Errors
/// A fake server cannot bind an address.
pub async fn run(
    exe: &Path,
    options: SoakOptions,
    disturbance: Disturbance,
) -> std::io::Result<Report> {
    let mut soak = Soak::start(exe, options).await?;
    let mut before = Report::default();
    wait_for_recovery(&soak.fronts, &mut before, "before any fault").await;
    soak.spoils.store(true, Ordering::Relaxed);
    let (stop, next) = (Arc::new(AtomicBool::new(false)), Arc::new(AtomicU64::new(0)));
    let replies = Arc::new(Mutex::new(Vec::new()));
    let mut callers = Vec::new();
    for n in 0..options.callers as u64 {
        let (fronts, stop, next) = (soak.fronts.clone(), stop.clone(), next.clone());
        let (replies, mut rng) = (replies.clone(), StdRng::seed_from_u64(options.seed ^ (n << 32)));
        callers.push(tokio::spawn(async move {
            let caller = Caller::default();
            while !stop.load(Ordering::Relaxed) {
                let id = format!("r{}", next.fetch_add(1, Ordering::Relaxed));
                let path = PATHS[rng.random_range(0..PATHS.len())];
                let deadline = Duration::from_millis(rng.random_range(DEADLINES_MS));
                let headers = request_headers(path);
                let spec = RequestSpec { deadline, headers, ..RequestSpec::new(path, &id) };
                let front = fronts[rng.random_range(0..fronts.len())];
                let reply = caller.send(front, &spec).await;
                replies.lock().unwrap_or_else(PoisonError::into_inner).push((id, path, reply));
            }
        }));
    }
    let mut rng = StdRng::seed_from_u64(options.seed);
    let until = Instant::now() + options.duration;
    while Instant::now() < until {
        sleep(Duration::from_millis(rng.random_range(20..300))).await;
        if disturbance == Disturbance::ResponsesAndNodes {
            soak.disturb_node(&mut rng).await;
        }
        soak.note_memory();
    }
    stop.store(true, Ordering::Relaxed);
    for caller in callers {
        caller.await.expect("a caller ends");
    }
    soak.spoils.store(false, Ordering::Relaxed);
    sleep(SETTLE_TIME).await;
    let replies = std::mem::take(&mut *replies.lock().unwrap_or_else(PoisonError::into_inner));
    let mut report = soak.check(&replies, disturbance);
    report.violations.append(&mut before.violations);
    wait_for_recovery(&soak.fronts, &mut report, "after the last fault").await;
    Ok(report)
}
