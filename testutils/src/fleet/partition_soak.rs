//! A soak test of nodes that are cut from runners, beside configuration changes and runners that
//! leave.
//!
//! A seed determines the sequence of faults. Cuts have any shape and overlap; some come and go. It is
//! checked from what callers and runners observe that a request that must not be repeated runs at
//! most once, that a runner gets no request long after it has said that it leaves, and that each
//! request ends by its deadline.

use std::time::Duration;

use rand::rngs::StdRng;
use rand::seq::{IndexedRandom as _, IteratorRandom as _};
use rand::{RngExt as _, SeedableRng as _};
use tokio::time::{Instant, sleep};

use crate::fleet::deployment::{Deployment, MODEL_SERVICE, PLAIN_SERVICE, large_configuration};
use crate::fleet::network::Fault;
use crate::fleet::runner::{Faults, Runner, run_counts};
use crate::fleet::signal::Signals;
use crate::fleet::soak::{PATHS, Report, SoakOptions, check_reply, wait_for_recovery};
use crate::fleet::traffic::{Sample, Traffic};

/// How long a runner may still receive requests after it said that it leaves.
const DRAIN_GRACE: Duration = Duration::from_secs(4);
/// The time that requests have, and how much later their end may be seen on a busy machine.
const DEADLINE: Duration = Duration::from_secs(3);
const DEADLINE_SLACK: Duration = Duration::from_millis(300);
/// The time between two requests to a node.
const PERIOD: Duration = Duration::from_millis(40);
const FAULTS: [Fault; 4] = [Fault::Hang, Fault::Reset, Fault::Refuse, Fault::OneWay];
/// The stages of the runners of a deployment; `None` for plain runners.
const STAGES: [Option<&str>; 8] = [
    None,
    None,
    None,
    Some("prefill"),
    Some("prefill"),
    Some("decode"),
    Some("decode"),
    Some("decode"),
];

struct Soak {
    set: Deployment,
    /// The runners in use, by stage.
    runners: Vec<(Option<&'static str>, Runner)>,
    /// Runners that leave, and when they said so.
    leaving: Vec<(Runner, Instant)>,
    version: u64,
}

impl Soak {
    async fn start(nodes: usize) -> Self {
        let (set, runners) = (Deployment::new().await, Vec::new());
        let mut soak = Self { set, runners, leaving: Vec::new(), version: 1 };
        for stage in STAGES {
            soak.add_runner(stage).await;
        }
        soak.set = soak.set.with_nodes(nodes).await;
        soak
    }

    async fn add_runner(&mut self, stage: Option<&'static str>) {
        let service = if stage.is_some() { MODEL_SERVICE } else { PLAIN_SERVICE };
        let runner = self.set.add_runner(service, stage).await;
        let event_interval = Duration::from_millis(15);
        runner.set_faults(Faults { event_interval, ..Faults::default() });
        self.runners.push((stage, runner));
    }

    /// Starts a new runner of the same kind, and makes the old one say that it leaves.
    async fn replace_runner(&mut self, rng: &mut StdRng) {
        let (stage, old) = self.runners.remove(rng.random_range(0..self.runners.len()));
        self.add_runner(stage).await;
        old.drain();
        if rng.random_bool(0.5) {
            old.set_signals(Signals::leaving());
        }
        self.leaving.push((old, Instant::now()));
    }

    /// Some nodes, and some of the runners or all of them.
    fn paths(&self, rng: &mut StdRng) -> (Vec<usize>, Vec<Runner>) {
        let nodes = self.set.nodes.len();
        let cut = rng.random_range(1..=nodes / 2);
        let mut runners: Vec<Runner> = self.runners.iter().map(|(_, r)| r.clone()).collect();
        if rng.random_bool(0.5) {
            let some = rng.random_range(1..=runners.len());
            runners = runners.sample(rng, some).cloned().collect();
        }
        ((0..nodes).sample(rng, cut), runners)
    }

    /// Sets and clears a fault several times.
    fn flap(&self, fault: Fault, rng: &mut StdRng) {
        let (nodes, runners) = self.paths(rng);
        let turn = Duration::from_millis(rng.random_range(50..800));
        let names = nodes.iter().map(|at| self.set.nodes[*at].shared.me.id.clone());
        let paths: Vec<_> = names
            .flat_map(|name| runners.iter().map(move |runner| (name.clone(), runner.address())))
            .collect();
        let network = self.set.network.clone();
        tokio::spawn(async move {
            for fault in [fault, Fault::None].repeat(3) {
                for (node, address) in &paths {
                    network.set(node.as_str(), *address, fault);
                }
                sleep(turn).await;
            }
        });
    }

    async fn inject_fault(&mut self, rng: &mut StdRng) {
        let fault = *FAULTS.choose(rng).unwrap_or(&Fault::Hang);
        match rng.random_range(0..10) {
            0..4 => {
                let (nodes, runners) = self.paths(rng);
                self.set.set_network_fault(&nodes, &runners, fault);
            }
            4 | 5 => self.flap(fault, rng),
            6 => self.set.network.heal(),
            7 => {
                let (nodes, runners) = self.paths(rng);
                self.set.set_network_fault(&nodes, &runners, Fault::None);
            }
            8 => {
                self.version += 1;
                let routes = if self.version.is_multiple_of(3) { 700 } else { 0 };
                self.set.store.put("config", "main", &large_configuration(self.version, routes));
            }
            _ => self.replace_runner(rng).await,
        }
    }
}

/// Runs a soak test in this process. Each node gets the same number of requests, whatever the number
/// of callers in `options`.
pub async fn run(options: SoakOptions) -> Report {
    let mut rng = StdRng::seed_from_u64(options.seed);
    let mut soak = Soak::start(options.nodes).await;
    let fronts: Vec<_> = (0..options.nodes).map(|at| soak.set.front(at)).collect();
    let mut report = Report::default();
    wait_for_recovery(&fronts, &mut report, "before any fault").await;
    let traffic = Traffic::start(fronts.clone(), PATHS, PERIOD);
    let until = Instant::now() + options.duration;
    while Instant::now() < until {
        soak.inject_fault(&mut rng).await;
        report.faults += 1;
        sleep(Duration::from_millis(rng.random_range(50..900))).await;
    }
    // Cuts that come and go end by themselves.
    sleep(DRAIN_GRACE).await;
    soak.set.network.heal();
    wait_for_recovery(&fronts, &mut report, "after all faults").await;
    let samples = traffic.stop().await;
    check(&soak, &samples, &mut report);
    report
}

fn check(soak: &Soak, samples: &[Sample], report: &mut Report) {
    let runs = run_counts(&soak.set.runners);
    for Sample { id, path, reply, .. } in samples {
        let ran = runs.get(id).copied().unwrap_or(0);
        check_reply(id, path, reply, ran as u64, report);
        let took = reply.elapsed;
        if reply.status.is_none() || took > DEADLINE + DEADLINE_SLACK {
            let status = reply.status;
            report.violations.push(format!("deadline: {id} {path} got {status:?} after {took:?}"));
        }
    }
    report.outcomes.insert("runners left", soak.leaving.len() as u64);
    for (runner, left) in &soak.leaving {
        for request in runner.received() {
            let late = request.at.map(|at| at.saturating_duration_since(*left));
            if let Some(late) = late.filter(|late| *late > DRAIN_GRACE) {
                let (id, runner) = (&request.id, &runner.id);
                report.violations.push(format!("drain: {id} reached {runner} {late:?} late"));
            }
        }
    }
}
