//! Runs the daemon as nine processes under constant load, while every few seconds one process is
//! killed and one suspended, and runners are drained and change roles.
//!
//! The test takes about ten seconds; `SARDINEPICK_RUN_SECONDS` changes the duration.

use std::net::SocketAddr;
use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use sardinepick_lib::config::object::Role;
use sardinepick_lib::hash::Digest;
use sardinepick_testutils::caller::{Caller, KeyedAttempt};
use sardinepick_testutils::cluster::{
    ADMIN_KEY, NodeOptions, free_address, own_ip, wait_ready, wait_until,
};
use sardinepick_testutils::engine::{Engine, Speed};
use sardinepick_testutils::invariant::{Observation, Violation, check_call, check_completion};
use sardinepick_testutils::plain::PlainService;
use sardinepick_testutils::platform::Platform;
use sardinepick_testutils::process::Daemon;
use tokio::task::JoinSet;
use tokio::time::{Instant, sleep};

const EXE: &str = env!("CARGO_BIN_EXE_sardinepickd");
const NODES: usize = 9;
const ENGINES: usize = 6;
const CLIENTS: usize = 24;
const TOKENS: u64 = 30;
const KEY: &str = "clerk-key";
const DEFAULT_SECONDS: u64 = 9;

#[derive(Debug, Default)]
struct Tally {
    answered: u64,
    not_run: u64,
    unknown: u64,
    cut: u64,
    violations: Vec<Violation>,
}

impl Tally {
    fn count(&mut self, seen: &Observation) {
        match seen {
            Observation::Answer(_) => self.answered += 1,
            Observation::RefusedNotRun => self.not_run += 1,
            Observation::RefusedUnknown => self.unknown += 1,
            Observation::Truncated => self.cut += 1,
        }
    }

    fn add(&mut self, other: Tally) {
        self.answered += other.answered;
        self.not_run += other.not_run;
        self.unknown += other.unknown;
        self.cut += other.cut;
        self.violations.extend(other.violations);
    }
}

struct Backends {
    engines: Vec<Engine>,
    plain: PlainService,
}

fn config(backends: &Backends) -> String {
    let key = Digest::of(KEY.as_bytes());
    let mut config = format!(
        "begin; create model telraad-7b version = 3; \
         create service telraad model = telraad-7b, deadline = 8s; \
         create service ontbijtbord form = plain, deadline = 3s; \
         create runner ontbijtbord-1 service = ontbijtbord, address = {}, data_centre = zaal-dom; \
         create account clerk key = {key}, rate = 10000, burst = 10000, concurrency = 1000; ",
        backends.plain.address()
    );
    for (at, engine) in backends.engines.iter().enumerate() {
        config += &format!(
            "create runner telraad-{at} service = telraad, address = {}, \
             data_centre = zaal-dom, fencing = checked, slots = 32; ",
            engine.address()
        );
    }
    config + "commit"
}

/// Asks the nodes for addresses in turn until one responds.
async fn look_up(caller: &Caller, fronts: &[SocketAddr], from: usize) -> (SocketAddr, u64) {
    for attempt in 0.. {
        let front = fronts[(from + attempt) % fronts.len()];
        let response =
            tokio::time::timeout(Duration::from_millis(500), caller.look_up(front)).await;
        if let Ok(Ok(listing)) = response
            && let Some(address) = listing.addresses.first()
        {
            return (*address, listing.epoch);
        }
    }
    unreachable!("the loop does not end")
}

/// Runs one client: completions and orders in turn until stopped. An order without a response is
/// retried once with its key.
async fn run_client(
    at: usize,
    fronts: Arc<Vec<SocketAddr>>,
    backends: Arc<Backends>,
    stop: Arc<AtomicBool>,
) -> Tally {
    let caller = Caller::new(KEY);
    let mut tally = Tally::default();
    for n in 0.. {
        if stop.load(Ordering::Relaxed) {
            break;
        }
        let (front, epoch) = look_up(&caller, &fronts, at + n).await;
        let id = format!("call-{at}-{n}");
        if n % 3 < 2 {
            let prompt = format!("{id}: how many eggs? {}", "rooms ".repeat(n % 50));
            let ask = caller.complete(front, "telraad", &id, &prompt, TOKENS);
            let Ok(reply) = tokio::time::timeout(Duration::from_secs(10), ask).await else {
                tally.cut += 1;
                continue;
            };
            let starts = backends.engines.iter().map(|e| e.start_count(&id)).sum();
            tally.count(&reply.observation);
            tally.violations.extend(check_completion(
                &id,
                &prompt,
                TOKENS,
                &reply.observation,
                starts,
            ));
            continue;
        }
        let mut seen = Vec::new();
        for attempt in 1..=2 {
            let (front, _) = look_up(&caller, &fronts, at + n + attempt as usize).await;
            let keyed = KeyedAttempt { key: &id, attempt, epoch };
            let ask = caller.post(front, "ontbijtbord", &id, Some(&keyed));
            let reply = tokio::time::timeout(Duration::from_secs(5), ask).await;
            let outcome = reply.map_or(Observation::Truncated, |reply| reply.observation);
            let retry = !matches!(outcome, Observation::Answer(_));
            seen.push(outcome);
            if !retry {
                break;
            }
        }
        tally.count(seen.last().expect("there was an attempt"));
        tally.violations.extend(check_call(&id, &seen, backends.plain.effect_count(&id)));
    }
    tally
}

/// Nodes are killed, suspended and restarted, and runners are drained and change roles, all under
/// load. Any two of these may hit a request in any of its states. No response may be wrong, no
/// refusal may wrongly say "not run", and no order may run twice.
#[tokio::test(flavor = "multi_thread")]
async fn nine_processes_under_churn() {
    let seconds = std::env::var("SARDINEPICK_RUN_SECONDS").ok().and_then(|s| s.parse().ok());
    let run_time = Duration::from_secs(seconds.unwrap_or(DEFAULT_SECONDS));
    let platform = Platform::start(free_address(own_ip())).await.expect("a free address");
    let mut engines = Vec::new();
    for _ in 0..ENGINES {
        let engine = Engine::start(free_address(own_ip()), Role::Mixed, Speed::default()).await;
        engines.push(engine.expect("a free address"));
    }
    let plain = PlainService::start(free_address(own_ip())).await.expect("a free address");
    let backends = Arc::new(Backends { engines, plain });
    let plan = |at| NodeOptions::new(&format!("entry-{at}"), "zaal-dom", platform.address());
    let plans: Vec<NodeOptions> = (0..NODES).map(plan).collect();
    platform.set_vms(plans.iter().map(NodeOptions::vm).collect());
    let start = |plan: &NodeOptions| Daemon::start(Path::new(EXE), plan);
    let mut daemons: Vec<Daemon> = plans.iter().map(start).collect();
    let operator = Caller::new(ADMIN_KEY);
    wait_until("the first change is applied", || async {
        let result = operator.command(plans[0].front, &config(&backends)).await;
        result.is_ok_and(|(status, _)| status.is_success())
    })
    .await;
    for plan in &plans {
        wait_ready(plan.front).await;
    }

    let fronts: Arc<Vec<SocketAddr>> = Arc::new(plans.iter().map(|p| p.front).collect());
    let stop = Arc::new(AtomicBool::new(false));
    let mut calls = JoinSet::new();
    for at in 0..CLIENTS {
        calls.spawn(run_client(at, fronts.clone(), backends.clone(), stop.clone()));
    }
    let until = Instant::now() + run_time;
    let mut turn = 0;
    let (mut kills, mut pauses, mut changes) = (0, 0, 0);
    while Instant::now() < until {
        let (victim, suspended) = (1 + turn % (NODES - 1), 1 + (turn + 4) % (NODES - 1));
        daemons[victim].kill();
        daemons[suspended].pause();
        kills += 1;
        pauses += 1;
        let runner = turn % ENGINES;
        let role = if turn % 2 == 0 { "decode" } else { "mixed" };
        let commands = [
            format!("drain runner telraad-{runner}"),
            format!("set runner telraad-{} role = {role}", (runner + 1) % ENGINES),
        ];
        for command in &commands {
            let result = operator.command(plans[0].front, command).await;
            changes += u32::from(result.is_ok_and(|(status, _)| status.is_success()));
        }
        sleep(Duration::from_millis(1500)).await;
        daemons[suspended].resume();
        daemons[victim] = start(&plans[victim]);
        let resume = format!("resume runner telraad-{runner}");
        let _ = operator.command(plans[0].front, &resume).await;
        turn += 1;
    }
    stop.store(true, Ordering::Relaxed);
    let mut tally = Tally::default();
    while let Some(done) = calls.join_next().await {
        tally.add(done.expect("clients do not panic"));
    }
    let usage: Vec<_> = daemons.iter().map(Daemon::usage).collect();
    let conflicts: u32 = backends.engines.iter().map(Engine::conflicts).sum();
    println!(
        "{kills} kills, {pauses} pauses, {changes} changes: {} answered, {} refused not run, \
         {} refused unknown, {} cut, {conflicts} conflicting orders, {} violations; \
         memory at the most {} KB",
        tally.answered,
        tally.not_run,
        tally.unknown,
        tally.cut,
        tally.violations.len(),
        usage.iter().map(|u| u.rss_kb).max().unwrap_or(0),
    );
    assert_eq!(tally.violations, []);
    assert_eq!(backends.plain.duplicates(), Vec::<String>::new());
    assert_eq!(conflicts, 0);
    assert!(tally.answered > 100, "too few requests were answered: {tally:?}");
    assert!(changes > 0);

    // A planned stop is graceful: the node exits with code 0.
    daemons[0].terminate();
    let daemon = std::sync::Mutex::new(daemons.remove(0));
    wait_until("the node has exited", || async {
        daemon.lock().expect("not poisoned").exit_status().is_some()
    })
    .await;
    assert_eq!(daemon.lock().expect("not poisoned").exit_status(), Some(Some(0)));
}
