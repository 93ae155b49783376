//! Faulty pool schedulers: the node with the caller still answers, and has each request run at most
//! once.

use std::collections::HashSet;
use std::net::SocketAddr;
use std::time::Duration;

use http::StatusCode;
use sardinepick_lib::fleet::limit::{LimitReport, Rate};
use sardinepick_lib::fleet::load::Class;
use sardinepick_lib::fleet::placement::{Placement, Plan};
use sardinepick_lib::fleet::pool::Pool;
use sardinepick_lib::fleet::scheduler::{Decision, Step, choose_scheduler};
use sardinepick_lib::id::{ConfigVersion, NodeId, RunnerId, ServiceId};
use sardinepick_testutils::cluster::{free_address, own_ip, wait_until};
use sardinepick_testutils::fleet::caller::RequestSpec;
use sardinepick_testutils::fleet::deployment::{
    Deployment, MODEL_SERVICE, PLAIN_SERVICE, with_accounts,
};
use sardinepick_testutils::fleet::heartbeat;
use sardinepick_testutils::fleet::runner::Runner;
use sardinepick_testutils::fleet::signal::Signals;
use sardinepick_wire::schedule::Schedule;
use tokio::net::UdpSocket;
use tokio::sync::mpsc;
use tokio::time::{Instant, sleep};

const GENERATION: [(&str, &str); 4] = [
    ("model", "m"),
    ("token-count", "1460,80"),
    ("prompt-prefix", "5c1e:800,91bd:410,e440:250"),
    ("credential", "key-1"),
];

/// The behaviour of the scheduler when it is asked.
#[derive(Clone, Debug)]
enum Behaviour {
    /// No answer: it has died between two heartbeats, or is partitioned.
    Silent,
    /// It answers after the node's time-out.
    Late(RunnerId),
    /// It answers each query twice.
    Twice(RunnerId),
    /// It names this runner, whatever the node knows of it.
    FixedRunner(RunnerId),
    /// It does not know the service.
    UnknownService,
    /// Its answers are invalid datagrams.
    Garbage,
    /// It refuses all requests.
    Refusing,
    /// It tells the node to wait and then answers.
    Waiting(RunnerId),
    /// It tells the node to wait once, and is then silent: it has died with its queue.
    WaitingThenSilent,
    /// It tells the node to wait whenever it is asked.
    WaitingForever,
}

/// A node id that makes the faulty scheduler, and not the node, the scheduler of all services'
/// pools.
fn id_of_scheduler(node: &NodeId) -> NodeId {
    let services =
        [MODEL_SERVICE, PLAIN_SERVICE].map(|name| name.parse::<ServiceId>().expect("an id"));
    let is_scheduler = |name: &NodeId| {
        let schedules =
            |service| choose_scheduler(service, Pool(0), [node, name].into_iter()) == Some(name);
        services.iter().all(schedules)
    };
    let names = (0..100).map(|n| format!("false-{n}").parse::<NodeId>().expect("an id"));
    names.into_iter().find(is_scheduler).expect("one of a hundred ids ranks first")
}

fn placed(runner: &RunnerId) -> Decision {
    let plan = Plan::Whole { runner: runner.clone() };
    let (first_event, prefill_end, prefill_start, prefill_tokens, fetch) =
        (0.05, 0.04, 0.0, 1_460, None);
    let basis = None;
    let placement =
        Placement { plan, first_event, prefill_end, prefill_start, prefill_tokens, fetch, basis };
    Decision::Placed { placement, class: Class::of_rank(1) }
}

fn waiting() -> Option<Decision> {
    Some(Decision::Waiting(Duration::from_millis(100)))
}

fn answers(behaviour: &Behaviour, number: u64, step: &Step) -> Vec<Vec<u8>> {
    let one = |decision| Schedule::Answer { number, decision }.encode();
    let decided = |runner: &RunnerId| match step {
        Step::Start(_) => one(Some(placed(runner))),
        Step::Continue { .. } => one(Some(Decision::Continue(runner.clone()))),
    };
    match behaviour {
        Behaviour::Silent => Vec::new(),
        Behaviour::Late(runner) | Behaviour::FixedRunner(runner) => vec![decided(runner)],
        Behaviour::Twice(runner) => vec![decided(runner); 2],
        Behaviour::UnknownService => vec![one(None)],
        Behaviour::Garbage => vec![vec![0; 40], vec![0, 255, 255], Vec::new()],
        Behaviour::Refusing => vec![one(Some(Decision::NoRunner))],
        Behaviour::Waiting(runner) => vec![one(waiting()), decided(runner)],
        Behaviour::WaitingThenSilent | Behaviour::WaitingForever => vec![one(waiting())],
    }
}

/// Adds a node that sends normal heartbeats and schedules as `behaviour` says. Reports each
/// query.
async fn add_faulty_scheduler(
    node: &NodeId,
    peer: SocketAddr,
    behaviour: Behaviour,
) -> mpsc::UnboundedReceiver<()> {
    let address = free_address(own_ip());
    let socket = UdpSocket::bind(address).await.expect("a free address");
    let heartbeat = heartbeat::ready(id_of_scheduler(node), address, ConfigVersion(0));
    let (asked, queries) = mpsc::unbounded_channel();
    let mut numbers = HashSet::new();
    tokio::spawn(async move {
        let mut buffer = [0; 2_048];
        loop {
            tokio::select! {
                () = sleep(Duration::from_millis(50)) => {
                    let _ = socket.send_to(&heartbeat.encode(), peer).await;
                }
                Ok((length, from)) = socket.recv_from(&mut buffer) => {
                    let Ok(Schedule::Query { number, query, .. }) =
                        Schedule::decode(&buffer[..length]) else { continue };
                    let _ = asked.send(());
                    let is_repeated = !numbers.insert(number);
                    if is_repeated && matches!(behaviour, Behaviour::WaitingThenSilent) {
                        continue;
                    }
                    if let Behaviour::Late(_) = behaviour {
                        sleep(Duration::from_millis(120)).await;
                    }
                    for answer in answers(&behaviour, number, &query.step) {
                        let _ = socket.send_to(&answer, from).await;
                    }
                }
            }
        }
    });
    queries
}

/// Sends generations to a node whose scheduler has this behaviour; returns how often it was asked.
async fn serve_with_scheduler(behaviour: impl Fn(&[Runner]) -> Behaviour) -> usize {
    let set = Deployment::new().await.with_engines(1, 2).await.with_nodes(1).await;
    serve(&set, behaviour).await
}

/// A deployment with client accounts and fair shares.
async fn with_shares() -> Deployment {
    let set = Deployment::new().await.with_fair_shares(true);
    set.store.put("config", "main", &with_accounts(1, &[("kitchen", &["key-1"], None)]));
    set.with_engines(1, 2).await.with_nodes(1).await
}

async fn serve(set: &Deployment, behaviour: impl Fn(&[Runner]) -> Behaviour) -> usize {
    let shared = set.nodes[0].shared.clone();
    let behaviour = behaviour(&set.runners);
    let mut queries = add_faulty_scheduler(&shared.me.id, shared.me.peer, behaviour.clone()).await;
    wait_until("the faulty scheduler is known", async || {
        shared.roster().ready_contacts().len() == 1
    })
    .await;
    // Longer than the node caches the scheduler of a pool.
    sleep(Duration::from_millis(80)).await;
    for n in 0..6 {
        // One of the two routes is resumable.
        for path in ["/count/a", "/tally/a"] {
            let id = format!("s{n}{path}");
            let ask = RequestSpec { headers: &GENERATION, ..RequestSpec::new(path, &id) };
            let answer = set.send(0, &ask).await;
            assert_eq!(answer.status, Some(StatusCode::OK), "{behaviour:?}");
            assert!(answer.complete, "{behaviour:?}");
            assert_eq!(set.run_count(&id), 1, "{behaviour:?}");
        }
    }
    let mut count = 0;
    while queries.try_recv().is_ok() {
        count += 1;
    }
    assert!(count > 0, "the scheduler was asked");
    let places: u32 = shared.register().runners().map(|r| r.own.total()).sum();
    assert_eq!(places, 0, "reservations are released: {behaviour:?}");
    count
}

fn decoder(runners: &[Runner]) -> RunnerId {
    runners[1].id.parse().expect("an id")
}

#[tokio::test]
async fn decide_scheduler_silent_node_places_and_passes_it_over() {
    let asked = serve_with_scheduler(|_| Behaviour::Silent).await;
    // Two queries for the first request, then none for a while.
    assert!(asked <= 6, "asked {asked} times without an answer");
}

/// Guards against a final decision that is lost because the node has been told to wait.
#[tokio::test]
async fn decide_scheduler_answers_after_waiting_run_once() {
    let set = with_shares().await;
    let asked = serve(&set, |runners| Behaviour::Waiting(decoder(runners))).await;
    // Twelve requests, of which half have a second step; none is asked again.
    assert!(asked <= 24, "asked {asked} times");
}

/// Guards against requests that wait for a scheduler that has died with its queue.
#[tokio::test]
async fn decide_scheduler_dies_while_request_waits_node_places() {
    serve(&with_shares().await, |_| Behaviour::WaitingThenSilent).await;
}

/// Guards against a request that waits beyond the time in which its answer is useful.
#[tokio::test]
async fn decide_scheduler_never_decides_node_places_in_time() {
    let set = with_shares().await;
    let shared = set.nodes[0].shared.clone();
    let behaviour = Behaviour::WaitingForever;
    let mut queries = add_faulty_scheduler(&shared.me.id, shared.me.peer, behaviour).await;
    wait_until("the faulty scheduler is known", async || {
        shared.roster().ready_contacts().len() == 1
    })
    .await;
    sleep(Duration::from_millis(80)).await;
    let began = Instant::now();
    let ask = RequestSpec { headers: &GENERATION, ..RequestSpec::new("/count/a", "s1") };
    let answer = set.send(0, &ask).await;
    let took = began.elapsed();
    assert_eq!(answer.status, Some(StatusCode::OK));
    // The caller waits for 2 s without receiving anything.
    assert!(took < Duration::from_millis(2_000), "{took:?}");
    let asked = std::iter::from_fn(|| queries.try_recv().ok()).count();
    assert!((10..40).contains(&asked), "asked {asked} times in {took:?}");
}

#[tokio::test]
async fn decide_scheduler_late_run_once() {
    serve_with_scheduler(|runners| Behaviour::Late(decoder(runners))).await;
}

#[tokio::test]
async fn decide_scheduler_answers_twice_run_once() {
    serve_with_scheduler(|runners| Behaviour::Twice(decoder(runners))).await;
}

#[tokio::test]
async fn decide_scheduler_names_unknown_runner_node_places() {
    serve_with_scheduler(|_| Behaviour::FixedRunner("i-none".parse().expect("an id"))).await;
}

#[tokio::test]
async fn decide_scheduler_of_other_version_node_places() {
    serve_with_scheduler(|_| Behaviour::UnknownService).await;
    serve_with_scheduler(|_| Behaviour::Garbage).await;
}

/// Guards against work for a runner that has said that it leaves. The node knows that, but the
/// scheduler of the pool does not yet and names the runner; the node must not use the answer
/// unchecked.
#[tokio::test]
async fn decide_scheduler_names_leaving_runner_node_places() {
    let set = Deployment::new().await.with_engines(1, 2).await.with_nodes(1).await;
    let shared = set.nodes[0].shared.clone();
    let leaving = decoder(&set.runners);
    let _queries = add_faulty_scheduler(
        &shared.me.id,
        shared.me.peer,
        Behaviour::FixedRunner(leaving.clone()),
    )
    .await;
    wait_until("the faulty scheduler is known", async || {
        shared.roster().ready_contacts().len() == 1
    })
    .await;
    set.runners[1].drain();
    wait_until("the node knows", async || {
        shared.register().get(&leaving).is_some_and(|r| !r.takes_work(shared.clock.now()))
    })
    .await;
    for n in 0..6 {
        let id = format!("s{n}");
        let answer = set
            .send(0, &RequestSpec { headers: &GENERATION, ..RequestSpec::new("/count/a", &id) })
            .await;
        assert_eq!(answer.status, Some(StatusCode::OK));
        assert_eq!(set.runners[1].run_count(&id), 0, "the runner is leaving");
    }
}

/// Guards against refusals because of a scheduler with an empty register. A scheduler that has just
/// started knows no runner yet; the node knows some, so it must not use that refusal.
#[tokio::test]
async fn decide_scheduler_knows_no_runner_node_places() {
    serve_with_scheduler(|_| Behaviour::Refusing).await;
}

/// Guards against requests to a rate-limited runner without a permit, when the granting node is
/// silent or names that runner itself.
#[tokio::test]
async fn decide_scheduler_grants_nothing_other_runner_taken() {
    let set = Deployment::new().await.with_engines(1, 2).await.with_plain(2).await;
    let set = set.with_nodes(1).await;
    let shared = set.nodes[0].shared.clone();
    let limited = [1, 3].map(|at: usize| set.runners[at].clone());
    for runner in &limited {
        runner.set_signals(Signals::limit("5"));
    }
    let announced = limited.each_ref().map(|runner| {
        let id: RunnerId = runner.id.parse().expect("an id");
        let runner = shared.register().get(&id).expect("it is known").entry.tag();
        LimitReport { runner, rate: Rate::new(5.0), age: Duration::ZERO }
    });
    shared.limiter.apply_gossip(&announced, "another node");
    let behaviour = Behaviour::FixedRunner(decoder(&set.runners));
    let _queries = add_faulty_scheduler(&shared.me.id, shared.me.peer, behaviour).await;
    wait_until("the faulty scheduler is known", async || {
        shared.roster().ready_contacts().len() == 1
    })
    .await;
    sleep(Duration::from_millis(80)).await;
    let before = limited.each_ref().map(|runner| runner.received().len());
    for n in 0..6 {
        for (path, headers) in [("/count/a", &GENERATION[..]), ("/board/a", &[])] {
            let id = format!("s{n}{path}");
            let answer = set.send(0, &RequestSpec { headers, ..RequestSpec::new(path, &id) }).await;
            assert_eq!((answer.status, set.run_count(&id)), (Some(StatusCode::OK), 1), "{path}");
        }
        // Longer than a token bucket of this node would need to gain a token.
        sleep(Duration::from_millis(60)).await;
    }
    assert_eq!(limited.each_ref().map(|runner| runner.received().len()), before);
}
