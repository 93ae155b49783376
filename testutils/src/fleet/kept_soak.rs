//! A soak test of connections that callers keep, under planned work and silent runners only. The real
//! program runs as processes.
//!
//! Guarantee: a request that was written whole on a connection, without crossing its close, ends in a
//! complete response before its deadline, except for the cuts of [`Stop::excuses`]. Runners become slow,
//! fall silent and go on; configurations change timeouts, weights and routes; nodes get SIGHUP, and
//! SIGTERM with a restart, with grace periods that are shorter or longer than deadlines. Nothing is
//! killed and no path fails.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use rand::rngs::StdRng;
use rand::seq::IndexedRandom as _;
use rand::{RngExt as _, SeedableRng as _};
use serde_json::{Value, json};
use tokio::task::JoinHandle;
use tokio::time::{Instant, sleep};

use crate::cluster::any_address;
use crate::fleet::deployment::{
    DEFAULT_DATA_CENTRE, DEFAULT_VERSION, MODEL_SERVICE, PLAIN_SERVICE, configuration,
};
use crate::fleet::raw_caller::{End, RawCaller, RawReply, RawRequest};
use crate::fleet::runner::{Faults, Kind, Runner};
use crate::fleet::soak::{
    Report, SoakOptions, plan_nodes, request_headers, wait_for_recovery, with_grace,
};
use crate::fleet::stop::{Loss, Stop};
use crate::fleet::store::Store;
use crate::process::Daemon;

/// The second service of plain routes whose weights change.
const SECOND_SERVICE: &str = "broodplank";
/// The paths of requests; the route of the last one comes and goes.
const PATHS: [&str; 5] = ["/board/a", "/eggs/a", "/count/a", "/tally/a", "/extra/a"];
/// The deadlines of requests, in milliseconds.
const DEADLINES_MS: std::ops::Range<u64> = 600..10_000;
/// How much later than its deadline a request may get its response.
const DEADLINE_SLACK: Duration = Duration::from_millis(500);
/// The timeouts of routes, in milliseconds.
const TIMEOUTS_MS: [u64; 5] = [1_200, 4_000, 6_000, 10_000, 12_000];
/// A stream that breaks off later than this before its deadline, or its route's timeout, is cut at it.
const LATE: Duration = Duration::from_millis(100);
/// The idle timeouts of callers' connections, in milliseconds.
const IDLE_TIMEOUTS_MS: [u64; 3] = [1_000, 2_000, 4_000];
/// How long a node may apply the timeouts of an earlier configuration.
const APPLY_TIME: Duration = Duration::from_millis(1_500);
/// A request that was written less than this before the connection ended crosses its close.
const CROSSING: Duration = Duration::from_millis(100);
/// The grace periods of nodes, in turn.
const GRACES: [Duration; 2] = [Duration::from_secs(8), Duration::from_secs(4)];
/// How long a runner takes for a request before any work is changed.
const SHORT_WORK: Duration = Duration::from_millis(300);
/// How long a runner takes for a request, in milliseconds.
const WORK_MS: std::ops::Range<u64> = 20..6_000;
/// The size of a plain response, and of each event of a stream.
const PADDING_BYTES: usize = 2 << 10;
/// The receive buffer of callers that read slowly, and their pause between reads.
const SLOW_BUFFER_BYTES: u32 = 4 << 10;
const SLOW_READ_PAUSE: Duration = Duration::from_millis(50);
const EVENTS: u64 = 12;
const SILENCE_MS: std::ops::Range<u64> = 500..1_500;
const BODY_BYTES: std::ops::Range<usize> = 1..40_000;

struct Node {
    ini: String,
    grace: Duration,
    daemon: Option<Daemon>,
    /// The next process, once the one that is stopping has exited.
    restart: Option<JoinHandle<Daemon>>,
}

/// What callers share.
struct Callers {
    fronts: Vec<SocketAddr>,
    runners: Vec<Runner>,
    stop: AtomicBool,
    next: AtomicU64,
    state: Mutex<State>,
}

#[derive(Default)]
struct State {
    outcomes: HashMap<&'static str, u64>,
    violations: Vec<String>,
    /// The idle timeouts in the order in which they were configured.
    idle_timeouts: Timeouts,
    /// The timeouts of routes in that order.
    route_timeouts: Timeouts,
    /// The last stop of each node.
    stops: HashMap<usize, Stop>,
    /// The last planned work, for messages.
    last_work: Option<(Instant, String)>,
}

impl State {
    fn count(&mut self, outcome: &'static str) {
        *self.outcomes.entry(outcome).or_default() += 1;
    }

    /// A node that is stopping and may still accept connections.
    fn stopping(&self) -> Option<usize> {
        let is_early = |stop: &Stop| stop.terminated.elapsed() < stop.grace / 2;
        self.stops.iter().find(|(_, stop)| is_early(stop)).map(|(node, _)| *node)
    }
}

/// A timeout of each configuration, and when it was written.
#[derive(Default)]
struct Timeouts(Vec<(Instant, Duration)>);

impl Timeouts {
    /// Those that may have been in force since a moment.
    fn since(&self, since: Instant) -> impl Iterator<Item = Duration> {
        let current = self.0.iter().rposition(|(at, _)| *at + APPLY_TIME <= since);
        self.0[current.unwrap_or_default()..].iter().map(|(_, timeout)| *timeout)
    }

    /// The shortest one that may have been in force since a moment.
    fn shortest(&self, since: Instant) -> Duration {
        self.since(since).min().unwrap_or_default()
    }
}

impl Callers {
    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn kind(service: &str, stage: Option<&'static str>) -> Kind {
    let (service, data_centre) = (service.to_owned(), DEFAULT_DATA_CENTRE.to_owned());
    Kind { service, data_centre, stage, events: EVENTS, version: DEFAULT_VERSION }
}

async fn start_runners(store: &Store) -> std::io::Result<Vec<Runner>> {
    let kinds = [
        (PLAIN_SERVICE, None, 3),
        (SECOND_SERVICE, None, 2),
        (MODEL_SERVICE, Some("prefill"), 1),
        (MODEL_SERVICE, Some("decode"), 3),
    ];
    let mut runners = Vec::new();
    for (service, stage, count) in kinds {
        for _ in 0..count {
            let id = format!("i-{}", runners.len());
            let runner = Runner::start(&id, any_address(), kind(service, stage), store).await?;
            set_work(&runner, SHORT_WORK);
            runners.push(runner);
        }
    }
    Ok(runners)
}

/// Sets how long a runner takes for a request.
fn set_work(runner: &Runner, work: Duration) {
    let event_interval = work / EVENTS as u32;
    let response_delay = if runner.is_engine() { event_interval } else { work };
    let padding = PADDING_BYTES;
    runner.set_faults(Faults { response_delay, event_interval, padding, ..Faults::default() });
}

/// A configuration with these timeouts and the weight of the second service.
fn configure(version: u64, timeout_ms: u64, idle_ms: u64, weight: u64, has_extra: bool) -> Value {
    let mut config = configuration(version);
    let routes = config["routes"].as_array_mut().expect("it has routes");
    if has_extra {
        let mut extra = routes[0].clone();
        (extra["name"], extra["pathPrefix"]) = (json!("extra"), json!("/extra/"));
        routes.push(extra);
    }
    for route in routes {
        route["timeoutMs"] = json!(timeout_ms);
        if route["service"] == PLAIN_SERVICE {
            route["split"] = json!([
                {"service": PLAIN_SERVICE, "weight": 100 - weight},
                {"service": SECOND_SERVICE, "weight": weight},
            ]);
        }
    }
    let services = config["services"].as_array_mut().expect("it has services");
    services.push(json!({"name": SECOND_SERVICE, "healthPath": "/health", "maxConns": 96}));
    config["limits"]["idleTimeoutMs"] = json!(idle_ms);
    config["limits"]["headerTimeoutMs"] = json!(1_000);
    config
}

struct Soak {
    exe: PathBuf,
    store: Store,
    runners: Vec<Runner>,
    nodes: Vec<Node>,
    version: u64,
    callers: Arc<Callers>,
}

impl Soak {
    async fn start(exe: &Path, options: SoakOptions) -> std::io::Result<Self> {
        let store = Store::start(any_address()).await?;
        let runners = start_runners(&store).await?;
        let (mut nodes, mut fronts) = (Vec::new(), Vec::new());
        for (ini, front) in plan_nodes(options.nodes, store.address()) {
            fronts.push(front);
            let grace = GRACES[nodes.len() % GRACES.len()];
            let ini = with_grace(&ini, grace);
            let daemon = Some(Daemon::serve(exe, &ini));
            nodes.push(Node { ini, grace, daemon, restart: None });
        }
        let (stop, next) = (AtomicBool::new(false), AtomicU64::new(0));
        let state = Mutex::default();
        let callers = Arc::new(Callers { fronts, runners: runners.clone(), stop, next, state });
        let exe = exe.to_owned();
        let mut soak = Self { exe, store, runners, nodes, version: 0, callers };
        soak.change_configuration(&mut StdRng::seed_from_u64(options.seed));
        Ok(soak)
    }

    fn change_configuration(&mut self, rng: &mut StdRng) -> String {
        self.version += rng.random_range(1..4);
        let timeout_ms = *TIMEOUTS_MS.choose(rng).expect("there are some");
        let idle_ms = *IDLE_TIMEOUTS_MS.choose(rng).expect("there are some");
        let (weight, has_extra) = (rng.random_range(0..100), rng.random_bool(0.5));
        let config = configure(self.version, timeout_ms, idle_ms, weight, has_extra);
        let change = |ms| (Instant::now(), Duration::from_millis(ms));
        let mut state = self.callers.state();
        state.idle_timeouts.0.push(change(idle_ms));
        state.route_timeouts.0.push(change(timeout_ms));
        drop(state);
        self.store.put("config", "main", &config);
        format!("configuration {}: idle timeout {idle_ms} ms", self.version)
    }

    fn change_work(&self, rng: &mut StdRng) -> String {
        let runner = self.runners.choose(rng).expect("there are runners");
        let work = Duration::from_millis(rng.random_range(WORK_MS));
        set_work(runner, work);
        format!("{} takes {work:?}", runner.id)
    }

    fn silence_runner(&self, rng: &mut StdRng) -> String {
        let silence = Duration::from_millis(rng.random_range(SILENCE_MS));
        let runner = self.runners.choose(rng).expect("there are runners");
        runner.fall_silent(silence);
        format!("{} silent for {silence:?}", runner.id)
    }

    /// Stops a node and starts it again, unless no other one would be left.
    async fn restart_node(&mut self, at: usize) -> String {
        self.collect_restarted().await;
        let restarting = self.nodes.iter().filter(|node| node.restart.is_some()).count();
        if restarting + 2 > self.nodes.len() {
            return "none".to_owned();
        }
        let node = &mut self.nodes[at];
        let Some(mut daemon) = node.daemon.take() else { return "none".to_owned() };
        let stop = Stop { terminated: Instant::now(), grace: node.grace };
        self.callers.state().stops.insert(at, stop);
        let (exe, ini) = (self.exe.clone(), node.ini.clone());
        node.restart = Some(tokio::task::spawn_blocking(move || {
            daemon.terminate_and_wait();
            Daemon::serve(&exe, &ini)
        }));
        format!("SIGTERM of edge-{at}")
    }

    /// Takes back the processes that have been restarted.
    async fn collect_restarted(&mut self) {
        for node in &mut self.nodes {
            if let Some(restart) = node.restart.take_if(|restart| restart.is_finished()) {
                node.daemon = restart.await.ok();
            }
        }
    }

    async fn do_work(&mut self, rng: &mut StdRng) {
        let node = rng.random_range(0..self.nodes.len());
        let work = match rng.random_range(0..10) {
            0..2 => self.silence_runner(rng),
            2..4 => self.change_work(rng),
            4..6 => self.change_configuration(rng),
            6 => {
                if let Some(daemon) = &self.nodes[node].daemon {
                    daemon.reload();
                }
                format!("SIGHUP of edge-{node}")
            }
            _ => self.restart_node(node).await,
        };
        self.callers.state().last_work = Some((Instant::now(), work));
    }
}

/// Runs a soak test.
///
/// # Errors
/// A fake server cannot bind an address.
pub async fn run(exe: &Path, options: SoakOptions) -> std::io::Result<Report> {
    let mut rng = StdRng::seed_from_u64(options.seed);
    let mut soak = Soak::start(exe, options).await?;
    let callers = soak.callers.clone();
    let mut report = Report::default();
    wait_for_recovery(&callers.fronts, &mut report, "before any work").await;
    for runner in &soak.runners {
        set_work(runner, Duration::from_millis(rng.random_range(WORK_MS)));
    }
    let tasks: Vec<_> = (0..options.callers as u64)
        .map(|n| tokio::spawn(call(callers.clone(), options.seed ^ (n << 32))))
        .collect();
    let until = Instant::now() + options.duration;
    while Instant::now() < until {
        soak.do_work(&mut rng).await;
        report.faults += 1;
        sleep(Duration::from_millis(rng.random_range(50..500))).await;
    }
    callers.stop.store(true, Ordering::Relaxed);
    for task in tasks {
        if let Err(error) = task.await {
            report.violations.push(format!("a caller task failed: {error}"));
        }
    }
    for node in &mut soak.nodes {
        if let Some(restart) = node.restart.take() {
            node.daemon = restart.await.ok();
        }
    }
    let mut state = callers.state();
    report.outcomes = std::mem::take(&mut state.outcomes);
    report.violations.append(&mut state.violations);
    Ok(report)
}

async fn call(callers: Arc<Callers>, seed: u64) {
    let mut rng = StdRng::seed_from_u64(seed);
    // The node, and the status of the last response.
    let mut connection: Option<(usize, RawCaller, u16)> = None;
    while !callers.stop.load(Ordering::Relaxed) {
        let (node, mut caller, last_status) = match connection.take() {
            Some(kept) => kept,
            None => {
                let mut node = rng.random_range(0..callers.fronts.len());
                if rng.random_bool(0.5) {
                    node = callers.state().stopping().unwrap_or(node);
                }
                let Some(caller) = connect(callers.fronts[node], rng.random_bool(0.2)).await else {
                    sleep(Duration::from_millis(20)).await;
                    continue;
                };
                (node, caller, 0)
            }
        };
        let idle_since = Instant::now();
        let pause = if rng.random_bool(0.3) {
            callers.state().idle_timeouts.shortest(idle_since).mul_f64(rng.random_range(0.1..0.8))
        } else {
            Duration::from_millis(rng.random_range(0..30))
        };
        sleep(pause).await;
        if caller.is_closed() {
            let mut state = callers.state();
            let idle_timeout = state.idle_timeouts.shortest(idle_since);
            let kept = idle_since.elapsed() < idle_timeout.mul_f64(0.8);
            let stop = state.stops.get(&node);
            let stopped = stop.is_some_and(|stop| idle_since < stop.terminated + stop.grace);
            if kept && !stopped {
                let idle = idle_since.elapsed();
                state.violations.push(format!(
                    "edge-{node} closed a connection that was idle for {idle:?}, after a response \
                     with status {last_status} that did not say so"
                ));
            }
            state.count("closed while idle");
            continue;
        }
        if let Some(status) = send(&callers, &mut rng, node, &mut caller).await {
            connection = Some((node, caller, status));
        }
    }
}

/// Connects to a node; `None` if it does not accept the connection.
async fn connect(front: SocketAddr, is_slow: bool) -> Option<RawCaller> {
    if !is_slow {
        return RawCaller::try_connect(front).await.ok();
    }
    let mut caller = RawCaller::try_connect_with_buffer(front, SLOW_BUFFER_BYTES).await.ok()?;
    caller.set_read_pause(SLOW_READ_PAUSE);
    Some(caller)
}

/// Sends a request and checks its response. Returns its status if the connection can be used again.
async fn send(
    callers: &Callers,
    rng: &mut StdRng,
    node: usize,
    caller: &mut RawCaller,
) -> Option<u16> {
    let path = PATHS[rng.random_range(0..PATHS.len())];
    let id = format!("r{}", callers.next.fetch_add(1, Ordering::Relaxed));
    let body = vec![b'x'; rng.random_range(BODY_BYTES)];
    let headers = request_headers(path);
    let deadline = Duration::from_millis(rng.random_range(DEADLINES_MS));
    let request = RawRequest { headers, body: &body, deadline, ..RawRequest::new(path, &id) };
    let pieces = rng.random_range(1..5);
    let pause = Duration::from_millis(rng.random_range(0..30));
    let began = Instant::now();
    let is_written = caller.write_pieces(&request.bytes(), pieces, pause).await;
    let written = Instant::now();
    let reply = caller.read_reply(deadline + DEADLINE_SLACK).await;
    let ended = Instant::now();
    let mut state = callers.state();
    let loss = Loss { id: &id, written, reply: &reply, ended };
    let timeouts = state.route_timeouts.since(began);
    let limits: Vec<Instant> = timeouts.map(|timeout| began + timeout.min(deadline)).collect();
    let stop = state.stops.get(&node);
    let outcome = match is_written {
        _ if reply.is_complete() => Some(complete_outcome(&reply, is_written)),
        true => lost_outcome(&loss, stop, &callers.runners, &limits),
        false => Some("closed while it was written"),
    };
    state.count(outcome.unwrap_or("lost"));
    if outcome.is_none() {
        let work = state.last_work.as_ref().map(|(at, work)| (at.elapsed(), work.clone()));
        let sent = state.stops.get(&node).map(|stop| {
            let since = |at: Instant| at.saturating_duration_since(stop.terminated);
            format!(
                "{:?} and cut {:?} after SIGTERM of {:?}",
                since(written),
                since(ended),
                stop.grace
            )
        });
        let worked = callers.runners.iter().any(|runner| runner.has_worked_on(&id));
        let (took, end, status) = (ended - written, reply.end, reply.status);
        state.violations.push(format!(
            "lost: {id} {path} at edge-{node}: {end:?} with status {status} and {} bytes, {took:?} \
             after it was written in {pieces} pieces with a deadline of {deadline:?}; written {sent:?}; \
             a runner had it: {worked}; last work {work:?}",
            reply.body.len()
        ));
    }
    (reply.is_complete() && is_written && !reply.closes()).then_some(reply.status)
}

fn complete_outcome(reply: &RawReply, is_written: bool) -> &'static str {
    match reply.status {
        _ if !is_written => "refused and closed while it was written",
        200 => "answered",
        408 | 421 | 429 | 503 => "refused, not run",
        404 => "no route",
        _ => "failed",
    }
}

/// The outcome of a request that was written whole and got no complete response; `None` if it
/// violates the guarantee.
fn lost_outcome(
    loss: &Loss<'_>,
    stop: Option<&Stop>,
    runners: &[Runner],
    limits: &[Instant],
) -> Option<&'static str> {
    let (end, status) = (loss.reply.end, loss.reply.status);
    let is_cut = matches!(end, End::Closed | End::Reset);
    let is_passed_on = || runners.iter().any(|runner| runner.has_worked_on(loss.id));
    if is_cut && status == 0 && loss.ended < loss.written + CROSSING && !is_passed_on() {
        return Some("crossed a close");
    }
    if stop.is_some_and(|stop| stop.excuses(loss, runners)) {
        return Some("cut at the end of the grace period");
    }
    let ends_at = |limit: &Instant| (*limit - LATE..*limit + DEADLINE_SLACK).contains(&loss.ended);
    (is_cut && status == 200 && limits.iter().any(ends_at)).then_some("cut at its deadline")
}
