//! A soak of requests under which runners end, among many that do no harm: the real program as
//! processes, which are killed, paused and started again, while runners also end for no reason.
//!
//! What is promised: once three runners have ended under a request, hardly any more do; and no other
//! request is refused for good, however often runners end while it is there. Many callers send the
//! same request all the time.

use std::net::SocketAddr;
use std::path::Path;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use rand::rngs::StdRng;
use rand::{RngExt as _, SeedableRng as _};
use tokio::time::{Instant, sleep, timeout};

use crate::cluster::{any_address, free_address, own_ip};
use crate::fleet::caller::{Caller, RequestSpec};
use crate::fleet::crashing_runner::CrashingRunner;
use crate::fleet::deployment::{DEFAULT_DATA_CENTRE, MODEL_SERVICE, PLAIN_SERVICE, configuration};
use crate::fleet::runner::{Kind, Runner};
use crate::fleet::soak::{Report, SoakOptions, headers, ini, recover};
use crate::fleet::store::Store;
use crate::process::Daemon;

/// The body under which runners end.
const ENDING: &[u8] = b"a brief that no engine survives";
/// How many ends it takes to know, and how many more are borne after that.
const ENDS: usize = 3;
/// How long after the third end the nodes have to know (users' bound).
const KNOWN: Duration = Duration::from_secs(3);
/// How long an ended runner is away.
const AWAY: Duration = Duration::from_millis(700);

struct Fleet {
    store: Store,
    readers: Vec<Runner>,
    runners: Vec<CrashingRunner>,
    nodes: Vec<(String, SocketAddr, Option<Daemon>)>,
}

impl Fleet {
    async fn start(exe: &Path, plan: SoakOptions) -> std::io::Result<Self> {
        let store = Store::start(any_address()).await?;
        store.put("config", "main", &configuration(1));
        let kind = |service: &str, stage| Kind {
            service: service.to_owned(),
            data_centre: DEFAULT_DATA_CENTRE.to_owned(),
            stage,
            events: 12,
        };
        let mut readers = Vec::new();
        for n in 0..2 {
            let (id, address) = (format!("r-{n}"), any_address());
            readers.push(
                Runner::start(&id, address, kind(MODEL_SERVICE, Some("prefill")), &store).await?,
            );
        }
        let mut runners = Vec::new();
        for n in 0..10 {
            let (id, address) = (format!("s-{n}"), any_address());
            let kind =
                if n < 5 { kind(MODEL_SERVICE, Some("decode")) } else { kind(PLAIN_SERVICE, None) };
            let body = Bytes::from_static(ENDING);
            runners.push(CrashingRunner::start(&id, address, kind, &store, body, AWAY).await?);
        }
        let (mut seeds, mut nodes) = (Vec::new(), Vec::new());
        for n in 0..plan.nodes {
            let addresses = [(); 5].map(|()| free_address(own_ip()));
            let ini = ini(&format!("edge-{n}"), &addresses, store.address(), &seeds);
            if seeds.len() < 3 {
                seeds.push(addresses[3]);
            }
            let daemon = Some(Daemon::serve(exe, &ini));
            nodes.push((ini, addresses[0], daemon));
        }
        Ok(Self { store, readers, runners, nodes })
    }

    async fn fault(&mut self, exe: &Path, rng: &mut StdRng) {
        let node = rng.random_range(0..self.nodes.len());
        match rng.random_range(0..7) {
            0 | 1 => {
                let (ini, _, daemon) = &mut self.nodes[node];
                if let Some(mut daemon) = daemon.take() {
                    daemon.kill();
                }
                *daemon = Some(Daemon::serve(exe, ini));
            }
            2 => {
                let Some(daemon) = &self.nodes[node].2 else { return };
                daemon.pause();
                sleep(Duration::from_millis(rng.random_range(100..1_500))).await;
                daemon.resume();
            }
            3 => self.store.compact(),
            4 | 5 => {
                let third = rng.random_range(0..3);
                self.runners.iter().skip(third).step_by(3).for_each(CrashingRunner::end);
            }
            _ => {
                let runner = rng.random_range(0..self.runners.len());
                self.runners[runner].end();
            }
        }
    }

    /// When runs of the request under which runners end began, over all lives of runners, by path.
    fn runs(&self, path: &str) -> Vec<Instant> {
        let lives = self.runners.iter().flat_map(CrashingRunner::instances);
        let seen = lives.flat_map(|life| life.received());
        let mut runs: Vec<Instant> = seen
            .filter(|s| s.ran && s.path == path && s.body == ENDING)
            .filter_map(|s| s.at)
            .collect();
        runs.sort();
        runs
    }
}

/// What callers share.
struct Callers {
    fronts: Vec<SocketAddr>,
    stop: AtomicBool,
    next: AtomicU64,
    /// What was answered to requests that do no harm: id, path, status.
    told: Mutex<Vec<(String, &'static str, u16)>>,
}

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Body {
    /// The same for all.
    Common,
    /// One of its own each time.
    Own,
    /// That under which runners end.
    Ending,
}

async fn call(callers: Arc<Callers>, body: Body, seed: u64) {
    let mut rng = StdRng::seed_from_u64(seed);
    let caller = Caller::default();
    while !callers.stop.load(Ordering::Relaxed) {
        let front = callers.fronts[rng.random_range(0..callers.fronts.len())];
        let path = ["/board/a", "/count/a"][rng.random_range(0..2)];
        let id = format!("r{}", callers.next.fetch_add(1, Ordering::Relaxed));
        let bytes = match body {
            Body::Common => Bytes::from_static(b"a brief"),
            Body::Own => Bytes::from(id.clone()),
            Body::Ending => Bytes::from_static(ENDING),
        };
        let ask =
            RequestSpec { headers: headers(path), body: bytes, ..RequestSpec::new(path, &id) };
        let sent = timeout(Duration::from_secs(4), caller.send(front, &ask)).await;
        let status = sent.ok().and_then(|told| told.status).map_or(0, |status| status.as_u16());
        if body != Body::Ending {
            let mut told = callers.told.lock().unwrap_or_else(PoisonError::into_inner);
            told.push((id, path, status));
        }
        let pause = if body == Body::Ending { 20..300 } else { 0..30 };
        sleep(Duration::from_millis(rng.random_range(pause))).await;
    }
}

/// Runs a soak.
///
/// # Errors
/// A stand-in has no address.
pub async fn run(exe: &Path, plan: SoakOptions) -> std::io::Result<Report> {
    let mut rng = StdRng::seed_from_u64(plan.seed);
    let mut fleet = Fleet::start(exe, plan).await?;
    let callers = Arc::new(Callers {
        fronts: fleet.nodes.iter().map(|(_, front, _)| *front).collect(),
        stop: AtomicBool::new(false),
        next: AtomicU64::new(0),
        told: Mutex::default(),
    });
    let mut report = Report::default();
    recover(&callers.fronts, &mut report, "before any fault").await;
    let bodies = (0..plan.callers).map(|n| match n % 4 {
        0 | 1 => Body::Common,
        2 => Body::Own,
        _ => Body::Ending,
    });
    let tasks: Vec<_> = bodies
        .enumerate()
        .map(|(n, body)| tokio::spawn(call(callers.clone(), body, plan.seed ^ ((n as u64) << 32))))
        .collect();
    let until = Instant::now() + plan.duration;
    while Instant::now() < until {
        fleet.fault(exe, &mut rng).await;
        report.faults += 1;
        sleep(Duration::from_millis(rng.random_range(200..1_200))).await;
    }
    recover(&callers.fronts, &mut report, "after all faults").await;
    callers.stop.store(true, Ordering::Relaxed);
    for task in tasks {
        if let Err(error) = task.await {
            report.violations.push(format!("a caller ended by itself: {error}"));
        }
    }
    check(&fleet, &callers, &mut report);
    for (n, (_, _, daemon)) in fleet.nodes.iter_mut().enumerate() {
        if let Some(code) = daemon.as_mut().and_then(Daemon::exit_status) {
            report.violations.push(format!("edge-{n} ended by itself with {code:?}"));
        }
    }
    Ok(report)
}

fn check(fleet: &Fleet, callers: &Callers, report: &mut Report) {
    let read = fleet.readers.iter().flat_map(Runner::received).filter(|s| s.body == ENDING).count();
    report.outcomes.insert("readings of the request that ends runners", read as u64);
    for (path, what) in [("/board/a", "plain runs of it"), ("/count/a", "streamed runs of it")] {
        let runs = fleet.runs(path);
        report.outcomes.insert(what, runs.len() as u64);
        let Some(third) = runs.get(ENDS - 1) else { continue };
        let late = runs.iter().filter(|at| **at > *third + KNOWN).count();
        if late > ENDS {
            let after: Vec<Duration> = runs.iter().map(|at| *at - runs[0]).collect();
            report.violations.push(format!("ends: {path} ran {late} times too late, {after:?}"));
        }
    }
    let told = callers.told.lock().unwrap_or_else(PoisonError::into_inner);
    for (id, path, status) in told.iter() {
        let end = match status {
            200 => "answered",
            0 => "without an answer",
            408 | 421 | 429 | 503 => "refused, not run",
            400..500 => {
                report.violations.push(format!("denied: {id} {path} got {status}"));
                "denied"
            }
            _ => "failed",
        };
        *report.outcomes.entry(end).or_default() += 1;
    }
}
