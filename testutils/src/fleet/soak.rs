//! A randomized soak test: runs the real program as processes under injected faults and checks its
//! guarantees from what callers and runners observe.
//!
//! A seed determines the sequence of faults, which overlap: processes are killed, paused, stopped and
//! restarted; connections to the store and the runners are delayed, reset, or blocked in one or both
//! directions; the store fails, compacts its history and drops responses; runners fail in every
//! supported way, leave, and are replaced; the configuration changes. Clocks are not changed.

use std::collections::{HashMap, VecDeque};
use std::fmt;
use std::net::SocketAddr;
use std::path::Path;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use http::StatusCode;
use rand::rngs::StdRng;
use rand::{RngExt as _, SeedableRng as _};
use tokio::time::{Instant, sleep, timeout};

use crate::cluster::{any_address, free_address, own_ip};
use crate::fleet::caller::{Caller, Reply, RequestSpec};
use crate::fleet::deployment::{
    DEFAULT_DATA_CENTRE, DEFAULT_VERSION, MODEL_SERVICE, PLAIN_SERVICE, configuration,
    large_configuration,
};
use crate::fleet::proxy::{NetworkFault, Proxy};
use crate::fleet::rate_limit::{LIMIT_GRACE, LIMIT_WINDOW, limit_violation};
use crate::fleet::runner::{Faults, Kind, Runner, event_of};
use crate::fleet::signal::Signals;
use crate::fleet::store::{Backup, Fault, Store};
use crate::process::Daemon;

/// The parameters of a soak test.
#[derive(Clone, Copy, Debug)]
pub struct SoakOptions {
    /// The seed of the fault sequence.
    pub seed: u64,
    /// For how long faults are injected.
    pub duration: Duration,
    /// The number of nodes.
    pub nodes: usize,
    /// The number of callers.
    pub callers: usize,
    /// Whether the store is restored from backups.
    pub restore_backups: bool,
}

/// The number of additional routes in a configuration version. Every third version is large, so that
/// small ones overtake large ones in transfer. It draws no random number, so that the fault sequence
/// of a seed stays the same.
fn additional_routes(version: u64) -> usize {
    if version.is_multiple_of(3) { 1_400 } else { 0 }
}

/// The result of a soak test.
#[derive(Clone, Debug, Default)]
pub struct Report {
    /// The number of requests by outcome.
    pub outcomes: HashMap<&'static str, u64>,
    /// The number of injected faults.
    pub faults: u64,
    /// Violations of the guarantees.
    pub violations: Vec<String>,
    /// The largest memory of a node, in kilobytes; 0 if unknown.
    pub memory_kb: u64,
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let mut outcomes: Vec<_> = self.outcomes.iter().collect();
        outcomes.sort();
        let outcomes: Vec<String> =
            outcomes.iter().map(|(outcome, count)| format!("{count} {outcome}")).collect();
        let broken = self.violations.len();
        write!(f, "{} faults: {}, {broken} violations", self.faults, outcomes.join(", "))?;
        if self.memory_kb > 0 {
            write!(f, ", memory of a node up to {} KB", self.memory_kb)?;
        }
        self.violations.iter().try_for_each(|broken| write!(f, "\n  {broken}"))
    }
}

const STREAM_EVENTS: u64 = 12;
/// The versions of the runners' software, by turns.
const VERSIONS: [&str; 2] = [DEFAULT_VERSION, "v2"];
/// The paths of requests of every kind.
pub(super) const PATHS: &[&str] = &["/board/a", "/eggs/a", "/count/a", "/tally/a"];
const GENERATION_HEADERS: [(&str, &str); 3] =
    [("model", "m"), ("token-count", "1460,80"), ("prompt-prefix", "5c1e:800,91bd:410,e440:250")];
/// The headers of a request to a path, in addition to its id and deadline.
pub fn request_headers(path: &str) -> &'static [(&'static str, &'static str)] {
    let generates = path.starts_with("/count") || path.starts_with("/tally");
    if generates { &GENERATION_HEADERS } else { &[] }
}

/// How long a runner may still receive requests after it announced that it is leaving, without
/// other faults: the required two seconds, plus delays on a busy machine.
const DRAIN_GRACE: Duration = Duration::from_secs(4);

/// The number of faults between two restores of the store.
const FAULTS_PER_RESTORE: u64 = 4;
/// The number of backups kept; a restore uses the oldest.
const MAX_BACKUPS: usize = 3;
/// The time within which the operator and the runners replay lost writes.
const REPLAY_TIME: Duration = Duration::from_secs(1);

/// The time within which all nodes must serve every kind of request again.
const RECOVERY_TIMEOUT: Duration = Duration::from_secs(20);

struct Node {
    name: String,
    ini: String,
    front: SocketAddr,
    daemon: Option<Daemon>,
}

struct Soak {
    store: Store,
    store_proxy: Proxy,
    runners: Vec<(Runner, Proxy)>,
    nodes: Vec<Node>,
    version: u64,
    next_runner: u64,
    /// The number of times that a runner's signals were set.
    signals: u64,
    /// Backups from before the most recent faults, oldest first.
    backups: VecDeque<Backup>,
    /// Runners that announced that they are leaving, and when.
    leaving: Vec<(Runner, Instant)>,
}

/// State shared by all callers.
struct Callers {
    fronts: Vec<SocketAddr>,
    stop: AtomicBool,
    next: AtomicU64,
    replies: Mutex<Vec<(String, &'static str, Reply)>>,
    /// Streams that were taken up: the id of the attempt that began each, the events that it
    /// brought, and the reply to the attempt that took it up.
    taken_up: Mutex<Vec<(String, String, Reply)>>,
}

/// The settings file of a node at these addresses: for callers, readiness checks, look-ups, other nodes
/// and metrics.
pub fn node_settings(
    name: &str,
    addresses: &[SocketAddr; 5],
    store: SocketAddr,
    seeds: &[SocketAddr],
) -> String {
    let [front, ready, lookup, peer, metrics] = addresses;
    let seeds: Vec<String> = seeds.iter().map(ToString::to_string).collect();
    format!(
        "[node]\nname = {name}\ndata_centre = {DEFAULT_DATA_CENTRE}\nfront = {front}\nready = {ready}\n\
         lookup = {lookup}\npeer = {peer}\nmetrics = {metrics}\nseeds = {}\n\
         [store]\naddress = {store}\n[retry]\nallowance = 50\nwindow_s = 0.5\n\
         [stop]\ngrace_s = {DEFAULT_GRACE_S}\n[log]\nlevel = info\n",
        seeds.join(",")
    )
}

/// The grace period in the settings of nodes unless a test sets another, in seconds.
const DEFAULT_GRACE_S: u64 = 4;

/// A settings file of [`node_settings`] with another grace period.
pub fn with_grace(ini: &str, grace: Duration) -> String {
    let line = |seconds| format!("grace_s = {seconds}\n");
    ini.replace(&line(DEFAULT_GRACE_S), &line(grace.as_secs()))
}

/// The settings files of nodes at free addresses, and their addresses for callers. The first three are
/// the seeds of those after them.
pub(super) fn plan_nodes(count: usize, store: SocketAddr) -> Vec<(String, SocketAddr)> {
    let mut seeds = Vec::new();
    let plan = |at| {
        let addresses = [(); 5].map(|()| free_address(own_ip()));
        let ini = node_settings(&format!("edge-{at}"), &addresses, store, &seeds);
        if seeds.len() < 3 {
            seeds.push(addresses[3]);
        }
        (ini, addresses[0])
    };
    (0..count).map(plan).collect()
}

impl Soak {
    async fn start(exe: &Path, options: SoakOptions) -> std::io::Result<Self> {
        let store = Store::start(any_address()).await?;
        store.put("config", "main", &configuration(1));
        let store_proxy = Proxy::start(any_address(), store.address()).await?;
        let mut soak = Self {
            store,
            store_proxy,
            runners: Vec::new(),
            nodes: Vec::new(),
            version: 1,
            next_runner: 0,
            signals: 0,
            backups: VecDeque::new(),
            leaving: Vec::new(),
        };
        for (service, stage, count) in [
            (PLAIN_SERVICE, None, 3),
            (MODEL_SERVICE, Some("prefill"), 2),
            (MODEL_SERVICE, Some("decode"), 3),
        ] {
            for _ in 0..count {
                soak.add_runner(service, stage).await?;
            }
        }
        let mut seeds = Vec::new();
        for at in 0..options.nodes {
            let name = format!("edge-{at}");
            let addresses = [(); 5].map(|()| free_address(own_ip()));
            let ini = node_settings(&name, &addresses, soak.store_proxy.address, &seeds);
            if seeds.len() < 3 {
                seeds.push(addresses[3]);
            }
            let daemon = Some(Daemon::serve(exe, &ini));
            soak.nodes.push(Node { name, ini, front: addresses[0], daemon });
        }
        Ok(soak)
    }

    async fn add_runner(
        &mut self,
        service: &str,
        stage: Option<&'static str>,
    ) -> std::io::Result<()> {
        let id = format!("i-{}", self.next_runner);
        self.next_runner += 1;
        let kind = Kind {
            service: service.to_owned(),
            data_centre: DEFAULT_DATA_CENTRE.to_owned(),
            stage,
            events: STREAM_EVENTS,
            version: VERSIONS[(self.next_runner % VERSIONS.len() as u64) as usize],
        };
        let runner = Runner::start(&id, any_address(), kind, &self.store).await?;
        let proxy = Proxy::start(any_address(), runner.address()).await?;
        runner.publish_address(proxy.address);
        self.runners.push((runner, proxy));
        Ok(())
    }

    /// Injects one fault, which lasts until the next fault of its kind or until [`Soak::clear_faults`].
    async fn inject_fault(&mut self, exe: &Path, rng: &mut StdRng) {
        let node = rng.random_range(0..self.nodes.len());
        let runner = rng.random_range(0..self.runners.len());
        let network_faults = [
            NetworkFault::None,
            NetworkFault::Delay(Duration::from_millis(rng.random_range(5..200))),
            NetworkFault::Reset,
            NetworkFault::BlockToServer,
            NetworkFault::BlockBoth,
        ];
        let network_fault = network_faults[rng.random_range(0..network_faults.len())];
        match rng.random_range(0..13) {
            0 => self.restart(node, exe, Daemon::kill).await,
            1 => self.restart(node, exe, Daemon::terminate_and_wait).await,
            2 => self.pause(node, Duration::from_millis(rng.random_range(100..2_000))).await,
            3 => {
                if let Some(daemon) = &self.nodes[node].daemon {
                    daemon.reload();
                }
            }
            4 => self.store_proxy.set(network_fault),
            5 => self.runners[runner].1.set(network_fault),
            6 => {
                let faults = [Fault::None, Fault::Busy, Fault::Silent, Fault::Reset];
                self.store.set_fault(faults[rng.random_range(0..faults.len())]);
            }
            7 => self.store.compact(),
            8 => self.store.drop_responses(3),
            9 | 10 => {
                let stall = stall_for_turn(self.signals);
                self.runners[runner].0.set_faults(Faults { stall, ..random_faults(rng) });
                self.runners[runner].0.set_signals(signals_for_turn(self.signals));
                self.signals += 1;
            }
            11 => self.replace_runner(runner).await,
            _ => {
                self.version += rng.random_range(1..4);
                let next = large_configuration(self.version, additional_routes(self.version));
                self.store.put("config", "main", &next);
            }
        }
        if rng.random_bool(0.4) {
            self.clear_faults();
        }
    }

    /// Takes a backup of the store, and restores the oldest one periodically. It draws no random number,
    /// so that the fault sequence of a seed stays the same.
    fn back_up_and_restore(&mut self, faults: u64) {
        self.backups.push_back(self.store.backup());
        if self.backups.len() > MAX_BACKUPS {
            self.backups.pop_front();
        }
        if !faults.is_multiple_of(FAULTS_PER_RESTORE) {
            return;
        }
        let Some(backup) = self.backups.front() else { return };
        let lost = self.store.restore(backup);
        // The other backups hold revisions that later writes will reuse.
        self.backups.clear();
        let store = self.store.clone();
        tokio::spawn(async move { store.replay_shuffled(&lost, faults, REPLAY_TIME).await });
    }

    fn clear_faults(&self) {
        self.store.set_fault(Fault::None);
        self.store_proxy.set(NetworkFault::None);
        for (runner, proxy) in &self.runners {
            proxy.set(NetworkFault::None);
            runner.set_faults(Faults::default());
            runner.set_signals(Signals::none());
        }
    }

    async fn restart(&mut self, node: usize, exe: &Path, end: impl FnOnce(&mut Daemon)) {
        let node = &mut self.nodes[node];
        if let Some(mut daemon) = node.daemon.take() {
            end(&mut daemon);
        }
        node.daemon = Some(Daemon::serve(exe, &node.ini));
        sleep(Duration::from_millis(50)).await;
    }

    async fn pause(&mut self, node: usize, duration: Duration) {
        let Some(daemon) = &self.nodes[node].daemon else { return };
        daemon.pause();
        sleep(duration).await;
        daemon.resume();
    }

    /// Starts a new runner of the same kind and makes the old one announce that it is leaving.
    async fn replace_runner(&mut self, at: usize) {
        let (old, _) = &self.runners[at];
        let stage = if old.is_engine() { Some(["prefill", "decode"][at % 2]) } else { None };
        let service = old.service().to_owned();
        if self.add_runner(&service, stage).await.is_ok() {
            let (old, proxy) = self.runners.remove(at);
            old.drain();
            old.set_signals(Signals::leaving());
            proxy.set(NetworkFault::None);
            self.leaving.push((old.clone(), Instant::now()));
            // The old runner finishes its requests, so its proxy must stay open.
            tokio::spawn(async move {
                sleep(Duration::from_secs(3_600)).await;
                drop(proxy);
            });
        }
    }

    fn all_runners(&self) -> Vec<Runner> {
        let active = self.runners.iter().map(|(runner, _)| runner);
        active.chain(self.leaving.iter().map(|(runner, _)| runner)).cloned().collect()
    }
}

fn random_faults(rng: &mut StdRng) -> Faults {
    let none = Faults::default();
    match rng.random_range(0..8) {
        0 => Faults { refuse: true, ..none },
        1 => Faults { hang: true, ..none },
        2 => Faults { drop_response: true, ..none },
        3 => Faults { respond_500: true, ..none },
        4 => Faults { wrong_request_id: true, ..none },
        5 => Faults { abort_after: Some(rng.random_range(0..STREAM_EVENTS)), ..none },
        6 => Faults { response_delay: Duration::from_millis(rng.random_range(10..600)), ..none },
        _ => Faults { event_interval: Duration::from_millis(rng.random_range(1..80)), ..none },
    }
}

/// The pause in the streams of a runner that falls silent and goes on, for one in three turns, so
/// that a stream is taken over or not. It draws no random number, so that the fault sequence of a
/// seed stays the same.
fn stall_for_turn(turn: u64) -> Option<(u64, Duration)> {
    let pause = Duration::from_millis(if turn.is_multiple_of(2) { 1_300 } else { 2_600 });
    turn.is_multiple_of(3).then_some((STREAM_EVENTS / 2, pause))
}

/// The signals for a runner, each kind in turn. It draws no random number, so that the fault
/// sequence of a seed stays the same.
fn signals_for_turn(turn: u64) -> Signals {
    match turn % 5 {
        0 => Signals::limit("3"),
        1 => Signals::limit("0"),
        2 => Signals::limit("soon"),
        3 => Signals::limit("2.5").with("server-limit", "40"),
        _ => Signals::none().with("retry-after", "1.5"),
    }
}

async fn call(callers: Arc<Callers>, seed: u64) {
    let mut rng = StdRng::seed_from_u64(seed);
    let caller = Caller::default();
    while !callers.stop.load(Ordering::Relaxed) {
        let front = callers.fronts[rng.random_range(0..callers.fronts.len())];
        let path = PATHS[rng.random_range(0..PATHS.len())];
        let id = format!("r{}", callers.next.fetch_add(1, Ordering::Relaxed));
        let request = RequestSpec { headers: request_headers(path), ..RequestSpec::new(path, &id) };
        // Some callers disconnect before the response arrives.
        let wait_ms = if rng.random_bool(0.05) { 20 } else { 4_000 };
        let result = timeout(Duration::from_millis(wait_ms), caller.send(front, &request)).await;
        let reply = result.unwrap_or_default();
        if path == RESUMABLE_PATH && !reply.complete && whole_events(&reply) > 0 {
            let front = callers.fronts[rng.random_range(0..callers.fronts.len())];
            take_up(&callers, &caller, front, &id, &reply).await;
        }
        callers.replies.lock().unwrap_or_else(PoisonError::into_inner).push((id, path, reply));
        sleep(Duration::from_millis(rng.random_range(0..30))).await;
    }
}

/// The path whose streams can be taken up.
const RESUMABLE_PATH: &str = "/count/a";

/// The number of whole events of a response.
fn whole_events(reply: &Reply) -> u64 {
    reply.text().matches("\n\n").count() as u64
}

/// Takes up a stream that broke off, at a node.
async fn take_up(
    callers: &Callers,
    caller: &Caller,
    front: SocketAddr,
    first: &str,
    broken: &Reply,
) {
    let (id, events) = (format!("{first}-again"), whole_events(broken).to_string());
    let own = [("resumes", first), ("last-event-id", events.as_str())];
    let headers: Vec<_> = request_headers(RESUMABLE_PATH).iter().copied().chain(own).collect();
    let request = RequestSpec { headers: &headers, ..RequestSpec::new(RESUMABLE_PATH, &id) };
    let result = timeout(Duration::from_secs(4), caller.send(front, &request)).await;
    let text = broken.text();
    let received = text.rfind("\n\n").map_or("", |end| &text[..end + 2]).to_owned();
    let mut taken_up = callers.taken_up.lock().unwrap_or_else(PoisonError::into_inner);
    taken_up.push((first.to_owned(), received, result.unwrap_or_default()));
}

/// Runs a soak test.
///
/// # Errors
/// A fake server cannot bind an address.
pub async fn run(exe: &Path, options: SoakOptions) -> std::io::Result<Report> {
    let mut rng = StdRng::seed_from_u64(options.seed);
    let mut soak = Soak::start(exe, options).await?;
    let callers = Arc::new(Callers {
        fronts: soak.nodes.iter().map(|node| node.front).collect(),
        stop: AtomicBool::new(false),
        next: AtomicU64::new(0),
        replies: Mutex::default(),
        taken_up: Mutex::default(),
    });
    let mut report = Report::default();
    wait_for_recovery(&callers.fronts, &mut report, "before any fault").await;
    let tasks: Vec<_> = (0..options.callers as u64)
        .map(|n| tokio::spawn(call(callers.clone(), options.seed ^ (n << 32))))
        .collect();
    let until = Instant::now() + options.duration;
    while Instant::now() < until {
        soak.inject_fault(exe, &mut rng).await;
        report.faults += 1;
        if options.restore_backups {
            soak.back_up_and_restore(report.faults);
        }
        sleep(Duration::from_millis(rng.random_range(50..700))).await;
    }
    soak.clear_faults();
    let faults_cleared = Instant::now();
    wait_for_recovery(&callers.fronts, &mut report, "after all faults").await;
    check_signals(&soak, faults_cleared, &mut report).await;
    callers.stop.store(true, Ordering::Relaxed);
    for task in tasks {
        if let Err(error) = task.await {
            report.violations.push(format!("a caller task failed: {error}"));
        }
    }
    check(&soak, &callers, &mut report);
    for node in &mut soak.nodes {
        let ended = node.daemon.as_mut().and_then(Daemon::exit_status);
        if let Some(code) = ended {
            report.violations.push(format!("{} exited unexpectedly with {code:?}", node.name));
        }
    }
    Ok(report)
}

/// Waits until all nodes serve every kind of request.
pub(super) async fn wait_for_recovery(fronts: &[SocketAddr], report: &mut Report, when: &str) {
    for front in fronts {
        for path in PATHS {
            let is_served = async || {
                let caller = Caller::default();
                let request = RequestSpec {
                    headers: request_headers(path),
                    ..RequestSpec::new(path, "recovery")
                };
                let reply = timeout(Duration::from_secs(4), caller.send(*front, &request)).await;
                reply.is_ok_and(|reply| reply.status == Some(StatusCode::OK) && reply.complete)
            };
            let recovery = async {
                while !is_served().await {
                    sleep(Duration::from_millis(50)).await;
                }
            };
            if timeout(RECOVERY_TIMEOUT, recovery).await.is_err() {
                report.violations.push(format!("recovery: {front} does not serve {path} {when}"));
                return;
            }
        }
    }
}

/// The rate limit that some runners announce after all faults have ended, in requests per second.
const RATE_LIMIT: f64 = 3.0;

/// Checks, after all faults have ended, that leaving runners receive no requests and that rate-limited
/// runners receive no more than their limit.
async fn check_signals(soak: &Soak, faults_cleared: Instant, report: &mut Report) {
    let plain = soak.runners.iter().find(|(runner, _)| !runner.is_engine());
    let engines = soak.runners.iter().filter(|(runner, _)| runner.is_engine()).take(2);
    let limited: Vec<&Runner> = plain.into_iter().chain(engines).map(|(r, _)| r).collect();
    for runner in &limited {
        runner.set_signals(Signals::limit(RATE_LIMIT.to_string()));
    }
    sleep(DRAIN_GRACE.saturating_sub(faults_cleared.elapsed()).max(LIMIT_GRACE)).await;
    let since = Instant::now();
    sleep(LIMIT_WINDOW).await;
    report.violations.extend(limited.iter().filter_map(|r| limit_violation(r, RATE_LIMIT, since)));
    for (runner, _) in &soak.leaving {
        let late = runner
            .received()
            .iter()
            .filter(|request| request.at.is_some_and(|at| at > since))
            .count();
        if late > 0 {
            report.violations.push(format!("drain: {late} requests reached {} late", runner.id));
        }
    }
}

fn check(soak: &Soak, callers: &Callers, report: &mut Report) {
    let mut runs: HashMap<String, u64> = HashMap::new();
    for runner in soak.all_runners() {
        for request in runner.received() {
            let plain = request.path.starts_with("/board/") || request.path.starts_with("/eggs/");
            if plain == runner.is_engine() {
                report.violations.push(format!("route: {} at {}", request.path, runner.id));
            }
            if &request.body[..] != b"a brief" {
                report.violations.push(format!("body: {} has an unexpected body", request.id));
            }
            *runs.entry(request.id).or_default() += u64::from(request.ran);
        }
        let tokens: Vec<u64> = runner.orders().iter().map(|order| order.token).collect();
        if !tokens.is_sorted() {
            report.violations.push(format!("orders: {} saw the tokens {tokens:?}", runner.id));
        }
    }
    let replies = callers.replies.lock().unwrap_or_else(PoisonError::into_inner);
    for (id, path, reply) in replies.iter() {
        check_reply(id, path, reply, runs.get(id).copied().unwrap_or(0), report);
    }
    let taken_up = callers.taken_up.lock().unwrap_or_else(PoisonError::into_inner);
    for (id, received, reply) in taken_up.iter() {
        check_taken_up(id, received, reply, report);
    }
}

/// Checks a stream that was taken up after it had brought some events.
fn check_taken_up(id: &str, received: &str, reply: &Reply, report: &mut Report) {
    let end = match reply.status {
        Some(StatusCode::OK) => {
            let whole = format!("{received}{}", reply.text());
            if !is_stream_of_one_version(&whole, reply.complete) {
                let told = format!("order: {id} taken up after {received:?}, got {whole:?}");
                report.violations.push(told);
            }
            "taken up, went on"
        }
        Some(StatusCode::SERVICE_UNAVAILABLE) => "taken up, refused",
        Some(_) | None => "taken up, failed",
    };
    *report.outcomes.entry(end).or_default() += 1;
}

/// Whether a response is a stream, or the beginning of one, by runners of one version.
fn is_stream_of_one_version(text: &str, complete: bool) -> bool {
    VERSIONS.iter().any(|version| {
        let expected: String = (1..=STREAM_EVENTS).map(|id| event_of(id, version)).collect();
        if complete { text == expected } else { expected.starts_with(text) }
    })
}

/// Checks a reply to a request that has run `ran` times.
pub(super) fn check_reply(id: &str, path: &str, reply: &Reply, ran: u64, report: &mut Report) {
    let once = matches!(path, "/eggs/a" | "/tally/a");
    if once && ran > 1 {
        report.violations.push(format!("duplicate: {id} {path} ran {ran} times"));
    }
    let status = reply.status.map_or(0, |status| status.as_u16());
    if once && ran > 0 && matches!(status, 408 | 421 | 429 | 503) {
        report.violations.push(format!("refused: {id} {path} got {status} and ran"));
    }
    let end = match status {
        200 => check_success(id, path, reply, report),
        0 => "without an answer",
        408 | 421 | 429 | 503 => "refused, not run",
        _ => "failed",
    };
    *report.outcomes.entry(end).or_default() += 1;
}

fn check_success(id: &str, path: &str, reply: &Reply, report: &mut Report) -> &'static str {
    let text = reply.text();
    let valid = match path {
        "/board/a" | "/eggs/a" => {
            let expected = format!("answer to {id}");
            if reply.complete { text == expected } else { expected.starts_with(&text) }
        }
        _ => is_stream_of_one_version(&text, reply.complete),
    };
    if !valid || reply.header("response-signature").is_none() {
        report
            .violations
            .push(format!("content: {id} {path} complete {} got {text:?}", reply.complete));
    }
    if reply.complete { "answered" } else { "cut" }
}
