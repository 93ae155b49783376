//! A whole deployment in one process, put through its paces: three nodes, model engines, a plain
//! service and the platform's stand-in. It prints what it did and what was answered, and exits
//! with an error when an answer is wrong, lost, cut or doubled.

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

/// What callers saw, counted.
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
            "{what}: {} answered, {} refused, {} cut, {} promises broken",
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

/// Streams completions as callers do: each looks up an address first.
async fn complete_many(deployment: &Deployment, name: &str) -> JoinSet<(String, String, Reply)> {
    let mut tasks = JoinSet::new();
    let entry = deployment.cluster.front(0);
    for n in 0..COMPLETIONS {
        let caller = deployment.caller.clone();
        let id = format!("{name}-{n}");
        let prompt = format!("{name}: how many eggs for {n} rooms? {}", "occupied. ".repeat(n));
        tasks.spawn(async move {
            let listing = caller.look_up(entry).await;
            let peer = listing.map_or(entry, |l| l.addresses[n % l.addresses.len()]);
            let told = caller.complete(peer, "telraad", &id, &prompt, TOKENS).await;
            (id, prompt, told)
        });
    }
    tasks
}

async fn tally_completions(
    deployment: &Deployment,
    mut tasks: JoinSet<(String, String, Reply)>,
) -> Tally {
    let mut tally = Tally::default();
    while let Some(done) = tasks.join_next().await {
        let (id, prompt, told) = done.expect("callers do not panic");
        let starts = deployment.engines.iter().map(|e| e.start_count(&id)).sum();
        let violation = check_completion(&id, &prompt, TOKENS, &told.observation, starts);
        if !matches!(told.observation, Observation::Answer(_)) {
            println!("  {id}: status {}: {}", told.status, told.body);
        }
        tally.count(&told.observation, violation);
    }
    tally
}

/// Posts orders of bread, each twice under the same key to two nodes: the second must repeat the
/// first one's answer and not order bread again.
async fn post_many(deployment: &Deployment) -> Tally {
    let mut tally = Tally::default();
    let listing = deployment.caller.look_up(deployment.cluster.front(0)).await;
    let epoch = listing.map_or(0, |l| l.epoch);
    for n in 0..POSTS {
        let body = format!("bread for hall {n}");
        let key = format!("order-{n}");
        let mut seen = Vec::new();
        for attempt in 1..=2 {
            let keyed = KeyedAttempt { key: &key, attempt, epoch };
            let front = deployment.cluster.front((n + attempt as usize) % NODES);
            let told = deployment.caller.post(front, "ontbijtbord", &body, Some(&keyed)).await;
            if !matches!(told.observation, Observation::Answer(_)) {
                println!("  {key} attempt {attempt}: status {}: {}", told.status, told.body);
            }
            seen.push(told.observation);
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
    let mut right = true;
    println!("starting {NODES} nodes, {ENGINES} engines and a plain service");
    let mut deployment = deploy().await;

    let tasks = complete_many(&deployment, "steady").await;
    right &= tally_completions(&deployment, tasks).await.report("completions");
    right &= post_many(&deployment).await.report("orders, each sent twice");

    let generation = deployment.cluster.change("set service telraad priority = high").await;
    println!("changed the configuration: generation {generation} is in force on all nodes");

    let tasks = complete_many(&deployment, "drain").await;
    deployment.cluster.change("drain runner telraad-1").await;
    right &= tally_completions(&deployment, tasks)
        .await
        .report("completions while telraad-1 was drained");
    let drained = &deployment.engines[0];
    wait_until("the drained engine is idle", || async { drained.running() == 0 }).await;

    deployment.cluster.change("set runner telraad-2 role = decode").await;
    let engine = &deployment.engines[1];
    wait_until("telraad-2 has its new role", || async { engine.role() == Role::Decode }).await;
    let conflicts: u32 = deployment.engines.iter().map(Engine::conflicts).sum();
    println!("re-roled telraad-2 to decode by {} order(s)", engine.orders().len());
    right &= conflicts == 0;
    tokio::time::sleep(Duration::from_millis(400)).await;

    let tasks = complete_many(&deployment, "leave").await;
    let node = deployment.cluster.nodes[NODES - 1].take().expect("the node runs");
    let stopped = node.stop(std::future::pending()).await;
    println!("stopped a node gracefully: {} requests cut", stopped.cut);
    right &= stopped.cut == 0;
    right &=
        tally_completions(&deployment, tasks).await.report("completions while a node was stopped");
    let doubled = deployment.plain.duplicates();
    println!("orders that ran twice: {}", doubled.len());
    right &= account_usage().await;
    right && doubled.is_empty()
}

/// Sends requests with keys to nodes that serve on the platform, and waits until their usage has been
/// reported.
async fn account_usage() -> bool {
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
    let (platform, _) = set.platform.as_ref().expect("it has one");
    // What began before all nodes were there is not reported.
    wait_until("windows are reported", || async { !platform.windows().is_empty() }).await;
    let (known, unknown) = (ask("with-a-key", CALLER_KEY).await, ask("with-another", "none").await);
    println!("a request with a key: {known}; with one that nobody has: {unknown}");
    let reported = || platform.windows().values().filter_map(|c| c.get("hotel")).sum::<u64>();
    wait_until("usage is reported", || async { reported() > 0 }).await;
    println!("usage reported to the platform: {} request(s) of hotel", reported());
    (known, unknown, reported()) == (200, 401, 1)
}

/// The trial must end by itself.
const LIMIT: Duration = Duration::from_secs(60);

#[tokio::main]
async fn main() -> ExitCode {
    match tokio::time::timeout(LIMIT, run()).await {
        Ok(true) => {
            println!("all answers were right, whole and single");
            ExitCode::SUCCESS
        }
        Ok(false) => {
            println!("something was not right, see above");
            ExitCode::FAILURE
        }
        Err(_) => {
            println!("the trial did not end within {LIMIT:?}");
            ExitCode::FAILURE
        }
    }
}
