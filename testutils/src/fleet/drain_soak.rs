//! A soak test of runners that leave, with and without announcing it, while nodes start in waves, are
//! paused until they miss datagrams, and run slowly. The real program runs as processes.
//!
//! Guarantee: a runner receives no request later than 3 s after the store has acknowledged that it
//! leaves, from a node that has run undisturbed for 4 s. It is checked from what runners received; a
//! request's id names the node that the caller sent it to.

use std::net::SocketAddr;
use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::Duration;

use rand::rngs::StdRng;
use rand::seq::IteratorRandom as _;
use rand::{RngExt as _, SeedableRng as _};
use tokio::time::{Instant, sleep, timeout};

use crate::cluster::{any_address, free_address, own_ip};
use crate::fleet::caller::{Caller, RequestSpec};
use crate::fleet::deployment::{
    DEFAULT_DATA_CENTRE, DEFAULT_VERSION, MODEL_SERVICE, PLAIN_SERVICE, configuration,
};
use crate::fleet::runner::{Kind, Runner};
use crate::fleet::soak::{Report, SoakOptions, node_settings, wait_for_recovery};
use crate::fleet::store::Store;
use crate::process::Daemon;

/// How long after the acknowledgement a request may still reach a runner that leaves (required bound).
const DRAIN_BOUND: Duration = Duration::from_secs(3);
/// How long a node must have run undisturbed for the bound to apply to it (required bound).
const STABLE: Duration = Duration::from_secs(4);
/// The plain runners that are in use at any time.
const RUNNERS: usize = 5;
/// Pauses long enough for the kernel to drop datagrams that the paused process does not read.
const PAUSE_MS: std::ops::Range<u64> = 500..4_000;
/// Running and stopped by turns for this long each, a node runs at half its speed.
const SLOW_TURN: Duration = Duration::from_millis(150);
const SLOW_TURNS: usize = 10;
const PATH: &str = "/board/a";

struct Node {
    ini: String,
    front: SocketAddr,
    daemon: Option<Daemon>,
    /// When it was started, paused or slowed, and until when.
    disturbed: Vec<(Instant, Instant)>,
}

impl Node {
    fn disturb(&mut self, duration: Duration) {
        let now = Instant::now();
        self.disturbed.push((now, now + duration));
    }

    /// Whether it had run undisturbed for [`STABLE`] at a moment.
    fn is_stable(&self, at: Instant) -> bool {
        !self.disturbed.iter().any(|(from, until)| *from <= at && at < *until + STABLE)
    }
}

struct Fleet {
    store: Store,
    nodes: Vec<Node>,
    runners: Vec<Runner>,
    next_runner: usize,
    /// Runners that leave, and when the store acknowledged that.
    leaving: Vec<(Runner, Instant)>,
}

struct Callers {
    fronts: Vec<SocketAddr>,
    stop: AtomicBool,
    next: AtomicU64,
    answered: AtomicU64,
}

impl Fleet {
    async fn start(exe: &Path, nodes: usize) -> std::io::Result<Self> {
        let store = Store::start(any_address()).await?;
        store.put("config", "main", &configuration(1));
        let mut fleet = Self {
            store,
            nodes: Vec::new(),
            runners: Vec::new(),
            next_runner: 0,
            leaving: Vec::new(),
        };
        for _ in 0..RUNNERS {
            fleet.add_runner(PLAIN_SERVICE, None).await?;
        }
        let mut seeds = Vec::new();
        for n in 0..nodes {
            let addresses = [(); 5].map(|()| free_address(own_ip()));
            let ini =
                node_settings(&format!("edge-{n}"), &addresses, fleet.store.address(), &seeds);
            if seeds.len() < 3 {
                seeds.push(addresses[3]);
            }
            let daemon = Some(Daemon::serve(exe, &ini));
            let mut node = Node { ini, front: addresses[0], daemon, disturbed: Vec::new() };
            node.disturb(Duration::ZERO);
            fleet.nodes.push(node);
        }
        Ok(fleet)
    }

    async fn add_runner(
        &mut self,
        service: &str,
        stage: Option<&'static str>,
    ) -> std::io::Result<Runner> {
        let id = format!("i-{}", self.next_runner);
        self.next_runner += 1;
        let (service, data_centre) = (service.to_owned(), DEFAULT_DATA_CENTRE.to_owned());
        let kind = Kind { service, data_centre, stage, events: 12, version: DEFAULT_VERSION };
        let runner = Runner::start(&id, any_address(), kind, &self.store).await?;
        if stage.is_none() {
            self.runners.push(runner.clone());
        }
        Ok(runner)
    }

    /// Replaces a runner. The one that leaves goes on serving.
    async fn replace_runner(&mut self, rng: &mut StdRng) -> std::io::Result<()> {
        let runner = self.runners.remove(rng.random_range(0..self.runners.len()));
        if rng.random_bool(0.3) {
            runner.drain();
        } else {
            self.store.remove("servers", &runner.id);
        }
        self.leaving.push((runner, Instant::now()));
        self.add_runner(PLAIN_SERVICE, None).await?;
        Ok(())
    }

    /// Kills a share of the nodes at once and starts them again.
    fn start_wave(&mut self, exe: &Path, rng: &mut StdRng) {
        let count = self.nodes.len() / 2;
        for at in (0..self.nodes.len()).sample(rng, count) {
            let node = &mut self.nodes[at];
            if let Some(mut daemon) = node.daemon.take() {
                daemon.kill();
            }
            node.daemon = Some(Daemon::serve(exe, &node.ini));
            node.disturb(Duration::ZERO);
        }
    }

    /// Pauses a share of the nodes; some run slowly instead.
    fn pause(&mut self, rng: &mut StdRng) {
        let count = self.nodes.len() / 4;
        for at in (0..self.nodes.len()).sample(rng, count) {
            let node = &mut self.nodes[at];
            let Some(switch) = node.daemon.as_ref().map(Daemon::switch) else { continue };
            if rng.random_bool(0.7) {
                let pause = Duration::from_millis(rng.random_range(PAUSE_MS));
                node.disturb(pause);
                tokio::spawn(async move {
                    switch.pause();
                    sleep(pause).await;
                    switch.resume();
                });
            } else {
                node.disturb(SLOW_TURN * 2 * SLOW_TURNS as u32);
                tokio::spawn(async move {
                    for _ in 0..SLOW_TURNS {
                        switch.pause();
                        sleep(SLOW_TURN).await;
                        switch.resume();
                        sleep(SLOW_TURN).await;
                    }
                });
            }
        }
    }

    async fn inject_fault(&mut self, exe: &Path, rng: &mut StdRng) -> std::io::Result<()> {
        match rng.random_range(0..10) {
            0..4 => self.replace_runner(rng).await?,
            4..7 => self.pause(rng),
            7..9 => self.start_wave(exe, rng),
            _ => self.store.compact(),
        }
        Ok(())
    }
}

async fn call(callers: Arc<Callers>, seed: u64) {
    let mut rng = StdRng::seed_from_u64(seed);
    let caller = Caller::default();
    while !callers.stop.load(Ordering::Relaxed) {
        let node = rng.random_range(0..callers.fronts.len());
        let id = format!("{node}-{}", callers.next.fetch_add(1, Ordering::Relaxed));
        let request = RequestSpec::new(PATH, &id);
        let sent = timeout(Duration::from_secs(1), caller.send(callers.fronts[node], &request));
        if sent.await.is_ok_and(|reply| reply.complete) {
            callers.answered.fetch_add(1, Ordering::Relaxed);
        }
        sleep(Duration::from_millis(rng.random_range(0..20))).await;
    }
}

/// Runs a soak test.
///
/// # Errors
/// A fake server cannot bind an address.
pub async fn run(exe: &Path, options: SoakOptions) -> std::io::Result<Report> {
    let mut rng = StdRng::seed_from_u64(options.seed);
    let mut fleet = Fleet::start(exe, options.nodes).await?;
    // `wait_for_recovery` needs runners for every kind of request.
    let _prefill = fleet.add_runner(MODEL_SERVICE, Some("prefill")).await?;
    let _decode = fleet.add_runner(MODEL_SERVICE, Some("decode")).await?;
    let fronts: Vec<SocketAddr> = fleet.nodes.iter().map(|node| node.front).collect();
    let mut report = Report::default();
    wait_for_recovery(&fronts, &mut report, "before any fault").await;
    let callers = Arc::new(Callers {
        fronts: fronts.clone(),
        stop: AtomicBool::new(false),
        next: AtomicU64::new(0),
        answered: AtomicU64::new(0),
    });
    let tasks: Vec<_> = (0..options.callers as u64)
        .map(|n| tokio::spawn(call(callers.clone(), options.seed ^ (n << 32))))
        .collect();
    let until = Instant::now() + options.duration;
    while Instant::now() < until {
        fleet.inject_fault(exe, &mut rng).await?;
        report.faults += 1;
        sleep(Duration::from_millis(rng.random_range(50..500))).await;
    }
    wait_for_recovery(&fronts, &mut report, "after all faults").await;
    // Runners that a node still uses by mistake receive requests while nothing disturbs it.
    sleep(STABLE + DRAIN_BOUND).await;
    callers.stop.store(true, Ordering::Relaxed);
    for task in tasks {
        if let Err(error) = task.await {
            report.violations.push(format!("a caller task failed: {error}"));
        }
    }
    check(&fleet, &mut report);
    report.outcomes.insert("answered", callers.answered.load(Ordering::Relaxed));
    for (at, node) in fleet.nodes.iter_mut().enumerate() {
        if let Some(code) = node.daemon.as_mut().and_then(Daemon::exit_status) {
            report.violations.push(format!("edge-{at} exited unexpectedly with {code:?}"));
        }
    }
    Ok(report)
}

fn check(fleet: &Fleet, report: &mut Report) {
    report.outcomes.insert("runners left", fleet.leaving.len() as u64);
    for (runner, left) in &fleet.leaving {
        for request in runner.received() {
            let Some(at) = request.at else { continue };
            let node = request.id.split('-').next().and_then(|node| node.parse::<usize>().ok());
            let node = node.and_then(|node| fleet.nodes.get(node));
            let late = at.saturating_duration_since(*left);
            if late > DRAIN_BOUND && node.is_some_and(|node| node.is_stable(at)) {
                report.violations.push(format!(
                    "drain: {} reached {} {late:?} after it had left",
                    request.id, runner.id
                ));
            }
        }
    }
}
