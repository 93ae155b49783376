//! A randomized soak: the real program as processes, harmed from outside, with the promises checked
//! from what callers and runners see.
//!
//! A seed gives the order of the faults. They come in series and overlap: processes are killed,
//! paused, stopped and started again; connections to the store and the runners are delayed, reset,
//! cut one way or silenced; the store fails, forgets, and loses answers; runners fail in all their
//! ways, leave, and are replaced; configurations follow each other. Clocks are not touched.

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
    DEFAULT_DATA_CENTRE, MODEL_SERVICE, PLAIN_SERVICE, configuration, large_configuration,
};
use crate::fleet::proxy::{Harm, Proxy};
use crate::fleet::rate_limit::{LIMIT_AFTER, LIMIT_WINDOW, broken_limit};
use crate::fleet::runner::{Faults, Kind, Runner, event};
use crate::fleet::signal::Signals;
use crate::fleet::store::{Copy, Fault, Store};
use crate::process::Daemon;

/// How a soak runs.
#[derive(Clone, Copy, Debug)]
pub struct SoakOptions {
    /// The order of the faults.
    pub seed: u64,
    /// For how long they come.
    pub duration: Duration,
    /// How many nodes there are.
    pub nodes: usize,
    /// How many callers there are.
    pub callers: usize,
    /// Whether the store comes back from copies.
    pub copies: bool,
}

/// How many routes a version has beside the usual ones: every third is large, so that small ones
/// overtake large ones on their way. It takes no draw, which would change what a seed stands for.
fn routes(version: u64) -> usize {
    if version.is_multiple_of(3) { 1_400 } else { 0 }
}

/// What came of a soak.
#[derive(Clone, Debug, Default)]
pub struct Report {
    /// Requests by what became of them.
    pub outcomes: HashMap<&'static str, u64>,
    /// Faults that were made.
    pub faults: u64,
    /// Promises that were broken.
    pub violations: Vec<String>,
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let mut ends: Vec<_> = self.outcomes.iter().collect();
        ends.sort();
        let ends: Vec<String> = ends.iter().map(|(end, count)| format!("{count} {end}")).collect();
        let broken = self.violations.len();
        write!(f, "{} faults: {}, {broken} promises broken", self.faults, ends.join(", "))?;
        self.violations.iter().try_for_each(|broken| write!(f, "\n  {broken}"))
    }
}

const EVENTS: u64 = 12;
const PATHS: [&str; 4] = ["/board/a", "/eggs/a", "/count/a", "/tally/a"];
const GENERATION: [(&str, &str); 3] =
    [("model", "m"), ("token-count", "1460,80"), ("prompt-prefix", "5c1e:800,91bd:410,e440:250")];
/// The headers of a request to a path, beside its id and deadline.
pub(super) fn headers(path: &str) -> &'static [(&'static str, &'static str)] {
    let generates = path.starts_with("/count") || path.starts_with("/tally");
    if generates { &GENERATION } else { &[] }
}

/// How long after a runner said that it leaves it may still get work, while nothing else harms:
/// the users' two seconds, and what callers and clocks of a busy machine take.
const DRAIN: Duration = Duration::from_secs(4);

/// After how many faults the store comes back from a copy, and how many faults old that is at most.
const RETURN_EVERY: u64 = 4;
const OLDEST_COPY: usize = 3;
/// How long the operator and the runners take to write again what was lost.
const WRITE_AGAIN: Duration = Duration::from_secs(1);

/// How long all nodes may take to serve every kind of request again.
const RECOVERY: Duration = Duration::from_secs(20);

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
    /// How often runners were given signals.
    signals: u64,
    /// The store as it was before the last faults.
    copies: VecDeque<Copy>,
    /// Runners that said that they leave, with when.
    left: Vec<(Runner, Instant)>,
}

/// What callers share.
struct Callers {
    fronts: Vec<SocketAddr>,
    stop: AtomicBool,
    next: AtomicU64,
    told: Mutex<Vec<(String, &'static str, Reply)>>,
}

pub(super) fn ini(
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
         [stop]\ngrace_s = 4\n[log]\nlevel = info\n",
        seeds.join(",")
    )
}

impl Soak {
    async fn start(exe: &Path, plan: SoakOptions) -> std::io::Result<Self> {
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
            copies: VecDeque::new(),
            left: Vec::new(),
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
        for at in 0..plan.nodes {
            let name = format!("edge-{at}");
            let addresses = [(); 5].map(|()| free_address(own_ip()));
            let ini = ini(&name, &addresses, soak.store_proxy.address, &seeds);
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
            events: EVENTS,
        };
        let runner = Runner::start(&id, any_address(), kind, &self.store).await?;
        let proxy = Proxy::start(any_address(), runner.address()).await?;
        runner.show_at(proxy.address);
        self.runners.push((runner, proxy));
        Ok(())
    }

    /// Makes one fault, which ends by itself after a while or by the next of its kind.
    async fn fault(&mut self, exe: &Path, rng: &mut StdRng) {
        let node = rng.random_range(0..self.nodes.len());
        let runner = rng.random_range(0..self.runners.len());
        let harms = [
            Harm::None,
            Harm::Delay(Duration::from_millis(rng.random_range(5..200))),
            Harm::Reset,
            Harm::OneWay,
            Harm::Silence,
        ];
        let harm = harms[rng.random_range(0..harms.len())];
        match rng.random_range(0..13) {
            0 => self.restart(node, exe, Daemon::kill).await,
            1 => self.restart(node, exe, Daemon::terminate_and_wait).await,
            2 => self.pause(node, Duration::from_millis(rng.random_range(100..2_000))).await,
            3 => {
                if let Some(daemon) = &self.nodes[node].daemon {
                    daemon.reload();
                }
            }
            4 => self.store_proxy.set(harm),
            5 => self.runners[runner].1.set(harm),
            6 => {
                let faults = [Fault::None, Fault::Busy, Fault::Silent, Fault::Reset];
                self.store.set_fault(faults[rng.random_range(0..faults.len())]);
            }
            7 => self.store.compact(),
            8 => self.store.drop_responses(3),
            9 | 10 => {
                self.runners[runner].0.set_faults(some_faults(rng));
                self.runners[runner].0.set_signals(some_signals(self.signals));
                self.signals += 1;
            }
            11 => self.replace(runner).await,
            _ => {
                self.version += rng.random_range(1..4);
                let next = large_configuration(self.version, routes(self.version));
                self.store.put("config", "main", &next);
            }
        }
        if rng.random_bool(0.4) {
            self.heal();
        }
    }

    /// Takes a copy of the store, and has it come back from one from time to time. It takes no draw,
    /// which would change what a seed stands for.
    fn copy(&mut self, faults: u64) {
        self.copies.push_back(self.store.copy());
        if self.copies.len() > OLDEST_COPY {
            self.copies.pop_front();
        }
        if !faults.is_multiple_of(RETURN_EVERY) {
            return;
        }
        let Some(copy) = self.copies.front() else { return };
        let lost = self.store.restore(copy);
        // The others have revisions that are given out again.
        self.copies.clear();
        let store = self.store.clone();
        tokio::spawn(async move { store.replay_shuffled(&lost, faults, WRITE_AGAIN).await });
    }

    fn heal(&self) {
        self.store.set_fault(Fault::None);
        self.store_proxy.set(Harm::None);
        for (runner, proxy) in &self.runners {
            proxy.set(Harm::None);
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

    async fn pause(&mut self, node: usize, span: Duration) {
        let Some(daemon) = &self.nodes[node].daemon else { return };
        daemon.pause();
        sleep(span).await;
        daemon.resume();
    }

    /// A runner says that it leaves; one like it comes.
    async fn replace(&mut self, at: usize) {
        let (old, _) = &self.runners[at];
        let stage = if old.is_engine() { Some(["prefill", "decode"][at % 2]) } else { None };
        let service = old.service().to_owned();
        if self.add_runner(&service, stage).await.is_ok() {
            let (old, proxy) = self.runners.remove(at);
            old.drain();
            old.set_signals(Signals::leaving());
            proxy.set(Harm::None);
            self.left.push((old.clone(), Instant::now()));
            // It goes on serving what it has; its proxy must live as long.
            tokio::spawn(async move {
                sleep(Duration::from_secs(3_600)).await;
                drop(proxy);
            });
        }
    }

    fn all_runners(&self) -> Vec<Runner> {
        let here = self.runners.iter().map(|(runner, _)| runner);
        here.chain(self.left.iter().map(|(runner, _)| runner)).cloned().collect()
    }
}

fn some_faults(rng: &mut StdRng) -> Faults {
    let none = Faults::default();
    match rng.random_range(0..8) {
        0 => Faults { refuse: true, ..none },
        1 => Faults { hang: true, ..none },
        2 => Faults { drop_response: true, ..none },
        3 => Faults { respond_500: true, ..none },
        4 => Faults { wrong_request_id: true, ..none },
        5 => Faults { abort_after: Some(rng.random_range(0..EVENTS)), ..none },
        6 => Faults { response_delay: Duration::from_millis(rng.random_range(10..600)), ..none },
        _ => Faults { event_interval: Duration::from_millis(rng.random_range(1..80)), ..none },
    }
}

/// The signals of a runner, each kind in its turn: without a draw, which would change what a seed
/// stands for.
fn some_signals(turn: u64) -> Signals {
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
        let ask = RequestSpec { headers: headers(path), ..RequestSpec::new(path, &id) };
        // A caller may leave before its answer is there.
        let stays = if rng.random_bool(0.05) { 20 } else { 4_000 };
        let sent = timeout(Duration::from_millis(stays), caller.send(front, &ask)).await;
        let told = sent.unwrap_or_default();
        callers.told.lock().unwrap_or_else(PoisonError::into_inner).push((id, path, told));
        sleep(Duration::from_millis(rng.random_range(0..30))).await;
    }
}

/// Runs a soak.
///
/// # Errors
/// A stand-in has no address.
pub async fn run(exe: &Path, plan: SoakOptions) -> std::io::Result<Report> {
    let mut rng = StdRng::seed_from_u64(plan.seed);
    let mut soak = Soak::start(exe, plan).await?;
    let callers = Arc::new(Callers {
        fronts: soak.nodes.iter().map(|node| node.front).collect(),
        stop: AtomicBool::new(false),
        next: AtomicU64::new(0),
        told: Mutex::default(),
    });
    let mut report = Report::default();
    recover(&callers.fronts, &mut report, "before any fault").await;
    let tasks: Vec<_> = (0..plan.callers as u64)
        .map(|n| tokio::spawn(call(callers.clone(), plan.seed ^ (n << 32))))
        .collect();
    let until = Instant::now() + plan.duration;
    while Instant::now() < until {
        soak.fault(exe, &mut rng).await;
        report.faults += 1;
        if plan.copies {
            soak.copy(report.faults);
        }
        sleep(Duration::from_millis(rng.random_range(50..700))).await;
    }
    soak.heal();
    let healed = Instant::now();
    recover(&callers.fronts, &mut report, "after all faults").await;
    check_signals(&soak, healed, &mut report).await;
    callers.stop.store(true, Ordering::Relaxed);
    for task in tasks {
        if let Err(error) = task.await {
            report.violations.push(format!("a caller ended by itself: {error}"));
        }
    }
    check(&soak, &callers, &mut report);
    for node in &mut soak.nodes {
        let ended = node.daemon.as_mut().and_then(Daemon::exit_status);
        if let Some(code) = ended {
            report.violations.push(format!("{} ended by itself with {code:?}", node.name));
        }
    }
    Ok(report)
}

/// All nodes serve every kind of request again.
pub(super) async fn recover(fronts: &[SocketAddr], report: &mut Report, when: &str) {
    for front in fronts {
        for path in PATHS {
            let served = async || {
                let caller = Caller::default();
                let ask =
                    RequestSpec { headers: headers(path), ..RequestSpec::new(path, "recovery") };
                let told = timeout(Duration::from_secs(4), caller.send(*front, &ask)).await;
                told.is_ok_and(|told| told.status == Some(StatusCode::OK) && told.complete)
            };
            let comes = async {
                while !served().await {
                    sleep(Duration::from_millis(50)).await;
                }
            };
            if timeout(RECOVERY, comes).await.is_err() {
                report.violations.push(format!("recovery: {front} does not serve {path} {when}"));
                return;
            }
        }
    }
}

/// The rate that some runners announce once all is calm, in requests a second.
const LIMIT: f64 = 3.0;

/// Once all is calm, runners that have said that they leave get nothing more, and those with a rate
/// limit no more than that.
async fn check_signals(soak: &Soak, healed: Instant, report: &mut Report) {
    let plain = soak.runners.iter().find(|(runner, _)| !runner.is_engine());
    let engines = soak.runners.iter().filter(|(runner, _)| runner.is_engine()).take(2);
    let limited: Vec<&Runner> = plain.into_iter().chain(engines).map(|(r, _)| r).collect();
    for runner in &limited {
        runner.set_signals(Signals::limit(LIMIT.to_string()));
    }
    sleep(DRAIN.saturating_sub(healed.elapsed()).max(LIMIT_AFTER)).await;
    let since = Instant::now();
    sleep(LIMIT_WINDOW).await;
    report.violations.extend(limited.iter().filter_map(|r| broken_limit(r, LIMIT, since)));
    for (runner, _) in &soak.left {
        let late =
            runner.received().iter().filter(|seen| seen.at.is_some_and(|at| at > since)).count();
        if late > 0 {
            report.violations.push(format!("drain: {late} requests reached {} late", runner.id));
        }
    }
}

fn check(soak: &Soak, callers: &Callers, report: &mut Report) {
    let mut runs: HashMap<String, u64> = HashMap::new();
    for runner in soak.all_runners() {
        for seen in runner.received() {
            let plain = seen.path.starts_with("/board/") || seen.path.starts_with("/eggs/");
            if plain == runner.is_engine() {
                report.violations.push(format!("route: {} at {}", seen.path, runner.id));
            }
            if &seen.body[..] != b"a brief" {
                report.violations.push(format!("unasked: {} has another body", seen.id));
            }
            *runs.entry(seen.id).or_default() += u64::from(seen.ran);
        }
        let tokens: Vec<u64> = runner.orders().iter().map(|order| order.token).collect();
        if !tokens.is_sorted() {
            report.violations.push(format!("orders: {} saw the tokens {tokens:?}", runner.id));
        }
    }
    let whole: String = (1..=EVENTS).map(event).collect();
    let told = callers.told.lock().unwrap_or_else(PoisonError::into_inner);
    for (id, path, told) in told.iter() {
        let ran = runs.get(id).copied().unwrap_or(0);
        let once = matches!(*path, "/eggs/a" | "/tally/a");
        if once && ran > 1 {
            report.violations.push(format!("twice: {id} {path} ran {ran} times"));
        }
        let status = told.status.map_or(0, |status| status.as_u16());
        if once && ran > 0 && matches!(status, 408 | 421 | 429 | 503) {
            report.violations.push(format!("refused: {id} {path} got {status} and ran"));
        }
        let end = match status {
            200 => success(id, path, told, &whole, report),
            0 => "without an answer",
            408 | 421 | 429 | 503 => "refused, not run",
            _ => "failed",
        };
        *report.outcomes.entry(end).or_default() += 1;
    }
}

fn success(id: &str, path: &str, told: &Reply, whole: &str, report: &mut Report) -> &'static str {
    let expected = match path {
        "/board/a" | "/eggs/a" => format!("answer to {id}"),
        _ => whole.to_owned(),
    };
    let text = told.text();
    let good = if told.complete { text == expected } else { expected.starts_with(&text) };
    if !good || told.header("response-signature").is_none() {
        report.violations.push(format!("mixed: {id} {path} whole {} got {text:?}", told.complete));
    }
    if told.complete { "answered" } else { "cut" }
}
