//! A soak test of requests that crash runners, among many harmless ones. The real program runs as
//! processes that are killed, paused and restarted, and runners also crash without a request.
//!
//! Guarantees: after a request has crashed three runners, at most a few more crash on it; and no
//! other request is permanently refused, however often runners crash while they run it. Many callers
//! repeat the same requests throughout.

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
use crate::fleet::deployment::{
    DEFAULT_DATA_CENTRE, DEFAULT_VERSION, MODEL_SERVICE, PLAIN_SERVICE, configuration,
};
use crate::fleet::runner::{Kind, Runner, Trigger};
use crate::fleet::soak::{Report, SoakOptions, node_settings, request_headers, wait_for_recovery};
use crate::fleet::store::Store;
use crate::process::Daemon;

/// The request body that crashes runners.
const CRASHING_BODY: &[u8] = b"a brief that no engine survives";
/// The number of crashes after which a request is quarantined, and of late runs tolerated after that.
const QUARANTINE_CRASHES: usize = 3;
/// The time after the third crash within which all nodes must refuse the request (required bound).
const QUARANTINE_DELAY: Duration = Duration::from_secs(3);
/// The time until a crashed runner restarts.
const RESTART_TIME: Duration = Duration::from_millis(700);

struct Fleet {
    store: Store,
    prefill_runners: Vec<Runner>,
    runners: Vec<CrashingRunner>,
    nodes: Vec<(String, SocketAddr, Option<Daemon>)>,
}

impl Fleet {
    async fn start(exe: &Path, options: SoakOptions) -> std::io::Result<Self> {
        let store = Store::start(any_address()).await?;
        store.put("config", "main", &configuration(1));
        let kind = |service: &str, stage| Kind {
            service: service.to_owned(),
            data_centre: DEFAULT_DATA_CENTRE.to_owned(),
            stage,
            events: 12,
            version: DEFAULT_VERSION,
        };
        let mut prefill_runners = Vec::new();
        for n in 0..2 {
            let (id, address) = (format!("r-{n}"), any_address());
            prefill_runners.push(
                Runner::start(&id, address, kind(MODEL_SERVICE, Some("prefill")), &store).await?,
            );
        }
        let mut runners = Vec::new();
        for n in 0..10 {
            let (id, address) = (format!("s-{n}"), any_address());
            let kind =
                if n < 5 { kind(MODEL_SERVICE, Some("decode")) } else { kind(PLAIN_SERVICE, None) };
            let trigger = Trigger::Body(Bytes::from_static(CRASHING_BODY));
            let runner = CrashingRunner::start(&id, address, kind, &store, trigger, RESTART_TIME);
            runners.push(runner.await?);
        }
        let (mut seeds, mut nodes) = (Vec::new(), Vec::new());
        for n in 0..options.nodes {
            let addresses = [(); 5].map(|()| free_address(own_ip()));
            let ini = node_settings(&format!("edge-{n}"), &addresses, store.address(), &seeds);
            if seeds.len() < 3 {
                seeds.push(addresses[3]);
            }
            let daemon = Some(Daemon::serve(exe, &ini));
            nodes.push((ini, addresses[0], daemon));
        }
        Ok(Self { store, prefill_runners, runners, nodes })
    }

    async fn inject_fault(&mut self, exe: &Path, rng: &mut StdRng) {
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
                let offset = rng.random_range(0..3);
                self.runners.iter().skip(offset).step_by(3).for_each(CrashingRunner::crash);
            }
            _ => {
                let runner = rng.random_range(0..self.runners.len());
                self.runners[runner].crash();
            }
        }
    }

    /// The start times of runs of the crashing request on a path, across all runner instances.
    fn run_starts(&self, path: &str) -> Vec<Instant> {
        let instances = self.runners.iter().flat_map(CrashingRunner::instances);
        let requests = instances.flat_map(|instance| instance.received());
        let mut run_starts: Vec<Instant> = requests
            .filter(|s| s.ran && s.path == path && s.body == CRASHING_BODY)
            .filter_map(|s| s.at)
            .collect();
        run_starts.sort();
        run_starts
    }
}

/// State shared by all callers.
struct Callers {
    fronts: Vec<SocketAddr>,
    stop: AtomicBool,
    next: AtomicU64,
    /// The responses to harmless requests: id, path, status.
    replies: Mutex<Vec<(String, &'static str, u16)>>,
}

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Body {
    /// The same for all callers.
    Common,
    /// Unique to each request.
    Own,
    /// The one that crashes runners.
    Crashing,
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
            Body::Crashing => Bytes::from_static(CRASHING_BODY),
        };
        let request = RequestSpec {
            headers: request_headers(path),
            body: bytes,
            ..RequestSpec::new(path, &id)
        };
        let result = timeout(Duration::from_secs(4), caller.send(front, &request)).await;
        let status = result.ok().and_then(|reply| reply.status).map_or(0, |status| status.as_u16());
        if body != Body::Crashing {
            let mut replies = callers.replies.lock().unwrap_or_else(PoisonError::into_inner);
            replies.push((id, path, status));
        }
        let pause = if body == Body::Crashing { 20..300 } else { 0..30 };
        sleep(Duration::from_millis(rng.random_range(pause))).await;
    }
}

/// Runs a soak test.
///
/// # Errors
/// A fake server cannot bind an address.
pub async fn run(exe: &Path, options: SoakOptions) -> std::io::Result<Report> {
    let mut rng = StdRng::seed_from_u64(options.seed);
    let mut fleet = Fleet::start(exe, options).await?;
    let callers = Arc::new(Callers {
        fronts: fleet.nodes.iter().map(|(_, front, _)| *front).collect(),
        stop: AtomicBool::new(false),
        next: AtomicU64::new(0),
        replies: Mutex::default(),
    });
    let mut report = Report::default();
    wait_for_recovery(&callers.fronts, &mut report, "before any fault").await;
    let bodies = (0..options.callers).map(|n| match n % 4 {
        0 | 1 => Body::Common,
        2 => Body::Own,
        _ => Body::Crashing,
    });
    let tasks: Vec<_> = bodies
        .enumerate()
        .map(|(n, body)| {
            tokio::spawn(call(callers.clone(), body, options.seed ^ ((n as u64) << 32)))
        })
        .collect();
    let until = Instant::now() + options.duration;
    while Instant::now() < until {
        fleet.inject_fault(exe, &mut rng).await;
        report.faults += 1;
        sleep(Duration::from_millis(rng.random_range(200..1_200))).await;
    }
    wait_for_recovery(&callers.fronts, &mut report, "after all faults").await;
    callers.stop.store(true, Ordering::Relaxed);
    for task in tasks {
        if let Err(error) = task.await {
            report.violations.push(format!("a caller task failed: {error}"));
        }
    }
    check(&fleet, &callers, &mut report);
    for (n, (_, _, daemon)) in fleet.nodes.iter_mut().enumerate() {
        if let Some(code) = daemon.as_mut().and_then(Daemon::exit_status) {
            report.violations.push(format!("edge-{n} exited unexpectedly with {code:?}"));
        }
    }
    Ok(report)
}

fn check(fleet: &Fleet, callers: &Callers, report: &mut Report) {
    let read = fleet
        .prefill_runners
        .iter()
        .flat_map(Runner::received)
        .filter(|s| s.body == CRASHING_BODY)
        .count();
    report.outcomes.insert("prefills of the crashing request", read as u64);
    for (path, what) in [("/board/a", "plain runs"), ("/count/a", "streamed runs")] {
        let run_starts = fleet.run_starts(path);
        report.outcomes.insert(what, run_starts.len() as u64);
        let Some(third) = run_starts.get(QUARANTINE_CRASHES - 1) else { continue };
        let late = run_starts.iter().filter(|at| **at > *third + QUARANTINE_DELAY).count();
        if late > QUARANTINE_CRASHES {
            let after: Vec<Duration> = run_starts.iter().map(|at| *at - run_starts[0]).collect();
            report
                .violations
                .push(format!("quarantine: {path} ran {late} times too late, {after:?}"));
        }
    }
    let replies = callers.replies.lock().unwrap_or_else(PoisonError::into_inner);
    for (id, path, status) in replies.iter() {
        let outcome = match status {
            200 => "answered",
            0 => "without an answer",
            408 | 421 | 429 | 503 => "refused, not run",
            400..500 => {
                report.violations.push(format!("denied: {id} {path} got {status}"));
                "denied"
            }
            _ => "failed",
        };
        *report.outcomes.entry(outcome).or_default() += 1;
    }
}
