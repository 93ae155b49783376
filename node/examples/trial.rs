//! An end-to-end trial of a deployment in one process: three nodes, model engines, a plain service
//! and a simulated platform. Prints the steps and their results, and exits with an error if a response
//! is wrong, lost, cut off or duplicated.

use std::process::ExitCode;
use std::sync::Arc;
use std::time::Duration;

use sardinepick_lib::config::object::Role;
use sardinepick_lib::hash::Digest;
use sardinepick_testutils::caller::{Caller, KeyedAttempt, Reply};
use sardinepick_testutils::cluster::{Cluster, free_address, own_ip, wait_until};
use sardinepick_testutils::engine::{Engine, Speed};
use sardinepick_testutils::fleet::{caller as fleet_caller, deployment as fleet};
use sardinepick_testutils::invariant::{Observation, Violation, check_call, check_completion};
use sardinepick_testutils::plain::PlainService;
use tokio::task::JoinSet;

const CALLER_KEY: &str = "night-manager-key";
const ENGINES: usize = 3;
const NODES: usize = 3;
const COMPLETIONS: usize = 60;
const POSTS: usize = 30;
const TOKENS: u64 = 40;

/// The results of requests, as seen by callers.
#[derive(Default)]
struct Tally {
    answered: usize,
    refused: usize,
    cut: usize,
    violations: Vec<Violation>,
}

impl Tally {
    fn count(&mut self, seen: &Observation, violation: Option<Violation>) {
        match seen {
            Observation::Answer(_) => self.answered += 1,
            Observation::RefusedNotRun | Observation::RefusedUnknown => self.refused += 1,
            Observation::Truncated => self.cut += 1,
        }
        self.violations.extend(violation);
    }

    fn report(&self, what: &str) -> bool {
        println!(
            "{what}: {} answered, {} refused, {} cut, {} invariants violated",
            self.answered,
            self.refused,
            self.cut,
            self.violations.len()
        );
        for violation in &self.violations {
            println!("  {violation}");
        }
        self.refused == 0 && self.cut == 0 && self.violations.is_empty()
    }
}

struct Deployment {
    cluster: Cluster,
    engines: Arc<Vec<Engine>>,
    plain: Arc<PlainService>,
    caller: Caller,
}

async fn deploy() -> Deployment {
    let mut engines = Vec::new();
    for _ in 0..ENGINES {
        let address = free_address(own_ip());
        let engine = Engine::start(address, Role::Mixed, Speed::default()).await;
        engines.push(engine.expect("the address is free"));
    }
    let plain = PlainService::start(free_address(own_ip())).await.expect("the address is free");
    let mut config = String::from(
        "begin; create model telraad-7b version = 3, weights = \"telraad/3\"; \
         create service telraad model = telraad-7b, deadline = 20s; \
         create service ontbijtbord form = plain, deadline = 10s; ",
    );
    for (at, engine) in engines.iter().enumerate() {
        let address = engine.address();
        config += &format!(
            "create runner telraad-{} service = telraad, address = {address}, \
             data_centre = zaal-dom, fencing = checked, slots = 32; ",
            at + 1
        );
    }
    let key = Digest::of(CALLER_KEY.as_bytes());
    config += &format!(
        "create runner ontbijtbord-1 service = ontbijtbord, address = {}, \
         data_centre = zaal-maas; \
         create account hotel key = {key}, rate = 1000, burst = 1000, concurrency = 500; commit",
        plain.address()
    );
    let cluster = Cluster::start(NODES, &["zaal-dom", "zaal-maas"], &config).await;
    Deployment {
        cluster,
        engines: Arc::new(engines),
        plain: Arc::new(plain),
        caller: Caller::new(CALLER_KEY),
    }
}

/// Starts streaming completions. Each caller looks up an address first, as real ones do.
async fn start_completions(
    deployment: &Deployment,
    name: &str,
) -> JoinSet<(String, String, Reply)> {
    let mut tasks = JoinSet::new();
    let entry = deployment.cluster.front(0);
    for n in 0..COMPLETIONS {
        let caller = deployment.caller.clone();
        let id = format!("{name}-{n}");
        let prompt = format!("{name}: how many eggs for {n} rooms? {}", "occupied. ".repeat(n));
        tasks.spawn(async move {
            let lookup = caller.look_up(entry).await;
            let peer = lookup.map_or(entry, |l| l.addresses[n % l.addresses.len()]);
            let response = caller.complete(peer, "telraad", &id, &prompt, TOKENS).await;
            (id, prompt, response)
        });
    }
    tasks
}

async fn check_completions(
    deployment: &Deployment,
    mut tasks: JoinSet<(String, String, Reply)>,
) -> Tally {
    let mut tally = Tally::default();
    while let Some(done) = tasks.join_next().await {
        let (id, prompt, response) = done.expect("the caller task does not panic");
        let starts = deployment.engines.iter().map(|e| e.start_count(&id)).sum();
        let violation = check_completion(&id, &prompt, TOKENS, &response.observation, starts);
        if !matches!(response.observation, Observation::Answer(_)) {
            println!("  {id}: status {}: {}", response.status, response.body);
        }
        tally.count(&response.observation, violation);
    }
    tally
}

/// Posts orders, each twice with the same idempotency key to two nodes. The second attempt must
/// return the first response and must not place the order again.
async fn check_posts(deployment: &Deployment) -> Tally {
    let mut tally = Tally::default();
    let lookup = deployment.caller.look_up(deployment.cluster.front(0)).await;
    let epoch = lookup.map_or(0, |l| l.epoch);
    for n in 0..POSTS {
        let body = format!("bread for hall {n}");
        let key = format!("order-{n}");
        let mut seen = Vec::new();
        for attempt in 1..=2 {
            let keyed = KeyedAttempt { key: &key, attempt, epoch };
            let front = deployment.cluster.front((n + attempt as usize) % NODES);
            let response = deployment.caller.post(front, "ontbijtbord", &body, Some(&keyed)).await;
            if !matches!(response.observation, Observation::Answer(_)) {
                println!(
                    "  {key} attempt {attempt}: status {}: {}",
                    response.status, response.body
                );
            }
            seen.push(response.observation);
        }
        let effects = deployment.plain.effect_count(&body);
        let violation = check_call(&key, &seen, effects);
        for one in &seen {
            tally.count(one, None);
        }
        tally.violations.extend(violation);
    }
    tally
}

async fn run() -> bool {
    let mut passed = true;
    println!("starting {NODES} nodes, {ENGINES} engines and a plain service");
    let mut deployment = deploy().await;

    let tasks = start_completions(&deployment, "steady").await;
    passed &= check_completions(&deployment, tasks).await.report("completions");
    passed &= check_posts(&deployment).await.report("orders, each sent twice");

    let generation = deployment.cluster.change("set service telraad priority = high").await;
    println!("changed the configuration: all nodes use generation {generation}");

    let tasks = start_completions(&deployment, "drain").await;
    deployment.cluster.change("drain runner telraad-1").await;
    passed &= check_completions(&deployment, tasks)
        .await
        .report("completions while telraad-1 was drained");
    let drained = &deployment.engines[0];
    wait_until("the drained engine is idle", || async { drained.running() == 0 }).await;

    deployment.cluster.change("set runner telraad-2 role = decode").await;
    let engine = &deployment.engines[1];
    wait_until("telraad-2 has its new role", || async { engine.role() == Role::Decode }).await;
    let conflicts: u32 = deployment.engines.iter().map(Engine::conflicts).sum();
    println!("changed the role of telraad-2 to decode, with {} order(s)", engine.orders().len());
    passed &= conflicts == 0;
    tokio::time::sleep(Duration::from_millis(400)).await;

    let tasks = start_completions(&deployment, "leave").await;
    let node = deployment.cluster.nodes[NODES - 1].take().expect("the node runs");
    let stopped = node.stop(std::future::pending()).await;
    println!("stopped a node gracefully: {} requests cut", stopped.cut);
    passed &= stopped.cut == 0;
    passed &=
        check_completions(&deployment, tasks).await.report("completions while a node was stopped");
    let duplicates = deployment.plain.duplicates();
    println!("orders that ran more than once: {}", duplicates.len());
    passed &= check_usage_reports().await;
    passed && duplicates.is_empty()
}

/// Sends requests with API keys to nodes, and waits until their usage has been reported to the platform.
async fn check_usage_reports() -> bool {
    let set = fleet::Deployment::new().await.with_platform(Duration::from_millis(500)).await;
    let accounts = [("hotel", &[CALLER_KEY][..], None)];
    set.store.put("config", "main", &fleet::with_accounts(1, &accounts));
    let set = set.with_plain(2).await.with_engines(1, 2).await.with_nodes(NODES).await;
    let ask = async |id: &str, key| {
        let headers = [("credential", key), ("token-count", "1460,80")];
        let ask = fleet_caller::RequestSpec {
            headers: &headers,
            ..fleet_caller::RequestSpec::new("/count/a", id)
        };
        set.send(0, &ask).await.status.map_or(0, |status| status.as_u16())
    };
    let (platform, _) = set.platform.as_ref().expect("the deployment has a platform");
    // Windows that began before all nodes had started are not reported.
    wait_until("windows are reported", || async { !platform.windows().is_empty() }).await;
    let (known, unknown) = (ask("with-a-key", CALLER_KEY).await, ask("with-another", "none").await);
    println!("status with a valid key: {known}, with an unknown key: {unknown}");
    let reported = || platform.windows().values().filter_map(|c| c.get("hotel")).sum::<u64>();
    wait_until("usage is reported", || async { reported() > 0 }).await;
    println!("usage reported to the platform: {} request(s) of hotel", reported());
    (known, unknown, reported()) == (200, 401, 1)
}

/// The time within which the trial must finish.
const TIME_LIMIT: Duration = Duration::from_secs(60);

#[tokio::main]
async fn main() -> ExitCode {
    match tokio::time::timeout(TIME_LIMIT, run()).await {
        Ok(true) => {
            println!("all responses were correct and complete, without duplicates");
            ExitCode::SUCCESS
        }
        Ok(false) => {
            println!("the trial failed, see above");
            ExitCode::FAILURE
        }
        Err(_) => {
            println!("the trial did not finish within {TIME_LIMIT:?}");
            ExitCode::FAILURE
        }
    }
}
