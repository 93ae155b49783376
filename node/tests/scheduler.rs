//! A scheduler that does not do as it should: the node that has the caller answers all the same, and
//! has each request run at most once.

use std::net::SocketAddr;
use std::time::Duration;

use http::StatusCode;
use sardinepick_lib::fleet::limit::{Announced, Rate};
use sardinepick_lib::fleet::load::Class;
use sardinepick_lib::fleet::place::{Placement, Plan};
use sardinepick_lib::fleet::pool::Pool;
use sardinepick_lib::fleet::scheduler::{Decision, Step, holder};
use sardinepick_lib::id::{ConfigVersion, NodeId, RunnerId, ServiceId};
use sardinepick_testutils::cluster::{free_address, own_ip, wait_until};
use sardinepick_testutils::fleet::beat;
use sardinepick_testutils::fleet::caller::RequestSpec;
use sardinepick_testutils::fleet::deployment::{Deployment, MODEL_SERVICE, PLAIN_SERVICE};
use sardinepick_testutils::fleet::runner::Runner;
use sardinepick_testutils::fleet::signal::Signals;
use sardinepick_wire::schedule::Schedule;
use tokio::net::UdpSocket;
use tokio::sync::mpsc;
use tokio::time::sleep;

const GENERATION: [(&str, &str); 3] =
    [("model", "m"), ("token-count", "1460,80"), ("prompt-prefix", "5c1e:800,91bd:410,e440:250")];

/// What the scheduler does when it is asked.
#[derive(Clone, Debug)]
enum Conduct {
    /// Nothing: it has died between two of its beats, or is cut off.
    Silent,
    /// It answers when the node has given it up.
    Late(RunnerId),
    /// It answers each question twice.
    Twice(RunnerId),
    /// It names a runner that the node does not know.
    Naming(RunnerId),
    /// It knows no such service.
    Unknowing,
    /// Its answers are no datagrams of ours.
    Garbling,
    /// It refuses all.
    Refusing,
}

/// A name for which the pools of all services fall to the false scheduler and not to the node.
fn winning_name(node: &NodeId) -> NodeId {
    let services =
        [MODEL_SERVICE, PLAIN_SERVICE].map(|name| name.parse::<ServiceId>().expect("an id"));
    let wins = |name: &NodeId| {
        let holds = |service| holder(service, Pool(0), [node, name].into_iter()) == Some(name);
        services.iter().all(holds)
    };
    let names = (0..100).map(|n| format!("false-{n}").parse::<NodeId>().expect("an id"));
    names.into_iter().find(wins).expect("one of a hundred wins")
}

fn placed(runner: &RunnerId) -> Decision {
    let plan = Plan::Whole { runner: runner.clone() };
    let (first, read, wait, fresh, fetch) = (0.05, 0.04, 0.0, 1_460, None);
    let placement = Placement { plan, first, read, wait, fresh, fetch };
    Decision::Placed { placement, class: Class::of_rank(1) }
}

fn answers(conduct: &Conduct, number: u64, step: &Step) -> Vec<Vec<u8>> {
    let one = |decision| Schedule::Answer { number, decision }.encode();
    let decided = |runner: &RunnerId| match step {
        Step::Start(_) => one(Some(placed(runner))),
        Step::GoOn { .. } => one(Some(Decision::GoesOn(runner.clone()))),
    };
    match conduct {
        Conduct::Silent => Vec::new(),
        Conduct::Late(runner) | Conduct::Naming(runner) => vec![decided(runner)],
        Conduct::Twice(runner) => vec![decided(runner); 2],
        Conduct::Unknowing => vec![one(None)],
        Conduct::Garbling => vec![vec![0; 40], vec![0, 255, 255], Vec::new()],
        Conduct::Refusing => vec![one(Some(Decision::NoRunner))],
    }
}

/// A node that beats as any other and schedules as `conduct` says. Tells of each question.
async fn add_false(
    node: &NodeId,
    peer: SocketAddr,
    conduct: Conduct,
) -> mpsc::UnboundedReceiver<()> {
    let address = free_address(own_ip());
    let socket = UdpSocket::bind(address).await.expect("a free address");
    let beat = beat::ready(winning_name(node), address, ConfigVersion(0));
    let (asked, questions) = mpsc::unbounded_channel();
    tokio::spawn(async move {
        let mut buffer = [0; 2_048];
        loop {
            tokio::select! {
                () = sleep(Duration::from_millis(50)) => {
                    let _ = socket.send_to(&beat.encode(), peer).await;
                }
                Ok((length, from)) = socket.recv_from(&mut buffer) => {
                    let Ok(Schedule::Question { number, ask, .. }) =
                        Schedule::decode(&buffer[..length]) else { continue };
                    let _ = asked.send(());
                    if let Conduct::Late(_) = conduct {
                        sleep(Duration::from_millis(120)).await;
                    }
                    for answer in answers(&conduct, number, &ask.step) {
                        let _ = socket.send_to(&answer, from).await;
                    }
                }
            }
        }
    });
    questions
}

/// Asks a node whose scheduler conducts itself so for some generations; gives how often it was asked.
async fn served_despite(conduct: impl Fn(&[Runner]) -> Conduct) -> usize {
    let set = Deployment::new().await.with_engines(1, 2).await.with_nodes(1).await;
    let shared = set.nodes[0].shared.clone();
    let conduct = conduct(&set.runners);
    let mut questions = add_false(&shared.me.id, shared.me.peer, conduct.clone()).await;
    wait_until("the false scheduler is heard", async || shared.roster().fronts().len() == 1).await;
    // Longer than the node keeps who schedules the pool.
    sleep(Duration::from_millis(80)).await;
    for n in 0..6 {
        // Of the two routes one may be gone on with and one not.
        for path in ["/count/a", "/tally/a"] {
            let id = format!("s{n}{path}");
            let ask = RequestSpec { headers: &GENERATION, ..RequestSpec::new(path, &id) };
            let told = set.send(0, &ask).await;
            assert_eq!(told.status, Some(StatusCode::OK), "{conduct:?}");
            assert!(told.complete, "{conduct:?}");
            assert_eq!(set.run_count(&id), 1, "{conduct:?}");
        }
    }
    let mut count = 0;
    while questions.try_recv().is_ok() {
        count += 1;
    }
    assert!(count > 0, "it was asked");
    let places: u32 = shared.register().runners().map(|r| r.own.total()).sum();
    assert_eq!(places, 0, "places come back: {conduct:?}");
    count
}

fn decoder(runners: &[Runner]) -> RunnerId {
    runners[1].id.parse().expect("an id")
}

#[tokio::test]
async fn decide_scheduler_silent_node_places_and_passes_it_over() {
    let asked = served_despite(|_| Conduct::Silent).await;
    // Twice for the first, and then not for a while.
    assert!(asked <= 6, "it was asked {asked} times in vain");
}

#[tokio::test]
async fn decide_scheduler_late_run_once() {
    served_despite(|runners| Conduct::Late(decoder(runners))).await;
}

#[tokio::test]
async fn decide_scheduler_answers_twice_run_once() {
    served_despite(|runners| Conduct::Twice(decoder(runners))).await;
}

#[tokio::test]
async fn decide_scheduler_names_unknown_runner_node_places() {
    served_despite(|_| Conduct::Naming("i-none".parse().expect("an id"))).await;
}

#[tokio::test]
async fn decide_scheduler_of_other_version_node_places() {
    served_despite(|_| Conduct::Unknowing).await;
    served_despite(|_| Conduct::Garbling).await;
}

/// Symptom: a runner gets work after it has said that it leaves. Sequence: the node has heard of it,
/// the scheduler of its pool has not, and names it. Cause: the node took its word.
#[tokio::test]
async fn decide_scheduler_names_leaving_runner_node_places() {
    let set = Deployment::new().await.with_engines(1, 2).await.with_nodes(1).await;
    let shared = set.nodes[0].shared.clone();
    let leaving = decoder(&set.runners);
    let _questions =
        add_false(&shared.me.id, shared.me.peer, Conduct::Naming(leaving.clone())).await;
    wait_until("the false scheduler is heard", async || shared.roster().fronts().len() == 1).await;
    set.runners[1].drain();
    wait_until("the node knows", async || {
        shared.register().get(&leaving).is_some_and(|r| !r.takes_work(shared.clock.now()))
    })
    .await;
    for n in 0..6 {
        let id = format!("s{n}");
        let told = set
            .send(0, &RequestSpec { headers: &GENERATION, ..RequestSpec::new("/count/a", &id) })
            .await;
        assert_eq!(told.status, Some(StatusCode::OK));
        assert_eq!(set.runners[1].run_count(&id), 0, "it leaves");
    }
}

/// Symptom: callers are refused where a scheduler's register is empty. Sequence: it has just started,
/// and knows no runner yet. Cause: its refusal was taken for the truth, though the node knows runners.
#[tokio::test]
async fn decide_scheduler_knows_no_runner_node_places() {
    served_despite(|_| Conduct::Refusing).await;
}

/// Guards against requests to a limited runner without a permit, when the node that grants is silent
/// or names that runner itself.
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
        Announced { runner, rate: Rate::new(5.0), age: Duration::ZERO }
    });
    shared.limiter.apply_gossip(&announced, "another node");
    let conduct = Conduct::Naming(decoder(&set.runners));
    let _questions = add_false(&shared.me.id, shared.me.peer, conduct).await;
    wait_until("the false scheduler is heard", async || shared.roster().fronts().len() == 1).await;
    sleep(Duration::from_millis(80)).await;
    let before = limited.each_ref().map(|runner| runner.received().len());
    for n in 0..6 {
        for (path, headers) in [("/count/a", &GENERATION[..]), ("/board/a", &[])] {
            let id = format!("s{n}{path}");
            let told = set.send(0, &RequestSpec { headers, ..RequestSpec::new(path, &id) }).await;
            assert_eq!((told.status, set.run_count(&id)), (Some(StatusCode::OK), 1), "{path}");
        }
        // Longer than it takes until a bucket that this node had would have a token.
        sleep(Duration::from_millis(60)).await;
    }
    assert_eq!(limited.each_ref().map(|runner| runner.received().len()), before);
}
