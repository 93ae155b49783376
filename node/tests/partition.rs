//! Nodes that are cut from runners while callers, the store and the other nodes still reach them.

use std::collections::{BTreeMap, HashMap};
use std::ops::Deref;
use std::time::Duration;

use http::StatusCode;
use sardinepick_lib::fleet::budget::Bounds;
use sardinepick_lib::fleet::pool::Pool;
use sardinepick_lib::fleet::scheduler::choose_scheduler;
use sardinepick_lib::id::ServiceId;
use sardinepick_node::serve::connection::CONNECT_TIMEOUT;
use sardinepick_testutils::cluster::wait_until;
use sardinepick_testutils::fleet::deployment::{Deployment, MODEL_SERVICE, PLAIN_SERVICE};
use sardinepick_testutils::fleet::network::Fault;
use sardinepick_testutils::fleet::runner::{Faults, Runner, run_counts};
use sardinepick_testutils::fleet::signal::Signals;
use sardinepick_testutils::fleet::traffic::{Sample, Traffic};
use tokio::sync::{Semaphore, SemaphorePermit};
use tokio::time::{Instant, sleep};

const NODES: usize = 6;
const ALL_PATHS: &[&str] = &["/board/a", "/count/a", "/eggs/a", "/tally/a"];
/// Paths of requests that run at most once.
const UNREPEATED_PATHS: &[&str] = &["/eggs/a", "/tally/a"];
/// The time between two requests to a node.
const PERIOD: Duration = Duration::from_millis(50);
/// How long requests are sent before the first fault.
const WARM_UP: Duration = Duration::from_secs(1);
const CUT: Duration = Duration::from_secs(8);
/// The time from the beginning of a cut in which the rules do not apply yet.
const GRACE: Duration = Duration::from_secs(3);
/// The share that the cut nodes must serve, relative to the others, and that the others must serve.
const MIN_SHARE: f64 = 0.9;
/// The default retry budget.
const BUDGET: Bounds = Bounds { ratio: 0.2, allowance: 10.0, window: Duration::from_secs(10) };
/// How much longer than its timeout an operation may take on a busy machine.
const TIMER_SLACK: Duration = Duration::from_millis(150);

/// The number of deployments that run at once: the timeouts of all nodes in this process hold only
/// if it has processor time left.
static DEPLOYMENTS: Semaphore = Semaphore::const_new(2);

/// A deployment, while it may run.
struct Running {
    set: Deployment,
    _permit: SemaphorePermit<'static>,
}

impl Deref for Running {
    type Target = Deployment;

    fn deref(&self) -> &Deployment {
        &self.set
    }
}

/// Six nodes, three plain runners, two prefill and three decode runners.
async fn deployment() -> Running {
    let permit = DEPLOYMENTS.acquire().await.expect("the semaphore is never closed");
    let set = Deployment::new().await.with_budget(BUDGET);
    let set = set.with_plain(3).await.with_engines(2, 3).await.with_nodes(NODES).await;
    let event_interval = Duration::from_millis(10);
    for runner in &set.runners {
        runner.set_faults(Faults { event_interval, ..Faults::default() });
    }
    Running { set, _permit: permit }
}

/// The index of the node that schedules a service's only pool, and grants permits for its runners.
fn scheduler_of(set: &Deployment, service: &str) -> usize {
    let service: ServiceId = service.parse().expect("an id");
    let ids = || set.nodes.iter().map(|node| &node.shared.me.id);
    let id = choose_scheduler(&service, Pool(0), ids()).expect("there are nodes");
    ids().position(|other| other == id).expect("the scheduler is a node")
}

/// The first nodes that schedule no pool.
fn other_nodes(set: &Deployment, count: usize) -> Vec<usize> {
    let schedulers = [MODEL_SERVICE, PLAIN_SERVICE].map(|service| scheduler_of(set, service));
    (0..NODES).filter(|at| !schedulers.contains(at)).take(count).collect()
}

/// Sends requests to all nodes while `faults` changes the network, and returns all of them.
async fn send_during(
    set: &Deployment,
    paths: &'static [&'static str],
    faults: impl AsyncFnOnce(),
) -> Vec<Sample> {
    let fronts = (0..set.nodes.len()).map(|at| set.front(at)).collect();
    let traffic = Traffic::start(fronts, paths, PERIOD);
    sleep(WARM_UP).await;
    faults().await;
    traffic.stop().await
}

/// Sends requests to all nodes during a cut that `begin` begins, and returns those from [`GRACE`]
/// after that to the end of the cut.
async fn send_during_cut(
    set: &Deployment,
    paths: &'static [&'static str],
    begin: impl FnOnce(),
) -> Vec<Sample> {
    let mut window = None;
    let mut samples = send_during(set, paths, async || {
        let from = Instant::now() + GRACE;
        begin();
        sleep(CUT).await;
        window = Some(from..Instant::now());
        set.network.heal();
    })
    .await;
    let window = window.expect("the cut has ended");
    samples.retain(|sample| window.contains(&sample.sent));
    samples
}

/// The numbers of served and sent requests of some nodes.
fn count(samples: &[Sample], nodes: impl Fn(usize) -> bool) -> (usize, usize) {
    let sent = || samples.iter().filter(|sample| nodes(sample.node));
    (sent().filter(|sample| sample.is_served()).count(), sent().count())
}

/// What each node served, and the requests that it did not serve by path, status and latency.
fn describe(samples: &[Sample], cut: &[usize]) -> String {
    let mut lines = String::new();
    for node in 0..NODES {
        let (served, sent) = count(samples, |other| other == node);
        let mut failures: BTreeMap<String, (usize, Duration)> = BTreeMap::new();
        for sample in samples.iter().filter(|s| s.node == node && !s.is_served()) {
            let status = sample.reply.status.map_or(0, |status| status.as_u16());
            let key = format!("{} {status}", sample.path);
            let (number, longest) = failures.entry(key).or_default();
            (*number, *longest) = (*number + 1, sample.reply.elapsed.max(*longest));
        }
        let label = if cut.contains(&node) { " (cut)" } else { "" };
        lines += &format!("\n  edge-{node}{label}: {served} of {sent} served, {failures:?}");
    }
    lines
}

/// Checks that the cut nodes serve as large a share as the others.
fn assert_served(samples: &[Sample], cut: &[usize]) {
    let table = describe(samples, cut);
    println!("{table}");
    let share = |(served, sent): (usize, usize)| served as f64 / sent.max(1) as f64;
    let at_cut = share(count(samples, |node| cut.contains(&node)));
    let at_others = share(count(samples, |node| !cut.contains(&node)));
    assert!(at_others >= MIN_SHARE, "the other nodes serve {at_others:.2}{table}");
    assert!(
        at_cut >= MIN_SHARE * at_others,
        "the cut nodes serve {at_cut:.2}, the others {at_others:.2}{table}"
    );
}

/// Cuts two of six nodes from all runners, and checks what they serve.
async fn cut_two_nodes(fault: Fault) {
    let set = deployment().await;
    let cut = other_nodes(&set, 2);
    let begin = || set.set_network_fault(&cut, &set.runners, fault);
    let samples = send_during_cut(&set, ALL_PATHS, begin).await;
    assert_served(&samples, &cut);
}

/// Guards against requests that wait for connections that are never established.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn two_nodes_cut_by_hang_served() {
    cut_two_nodes(Fault::Hang).await;
}

/// Guards against requests that fail because all connections to runners are reset.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn two_nodes_cut_by_reset_served() {
    cut_two_nodes(Fault::Reset).await;
}

/// Guards against requests that fail once all connections from before the cut are in use.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn two_nodes_cut_by_refuse_served() {
    let set = deployment().await;
    let cut = other_nodes(&set, 2);
    // From then on more requests are in progress at a time than before.
    let response_delay = Duration::from_millis(100);
    let event_interval = Duration::from_millis(80);
    let begin = || {
        for runner in &set.runners {
            runner.set_faults(Faults { response_delay, event_interval, ..Faults::default() });
        }
        set.set_network_fault(&cut, &set.runners, Fault::Refuse);
    };
    let samples = send_during_cut(&set, ALL_PATHS, begin).await;
    assert_served(&samples, &cut);
}

/// Guards against requests that run while their responses are lost.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn two_nodes_cut_one_way_served() {
    cut_two_nodes(Fault::OneWay).await;
}

/// Guards against the remaining nodes being overloaded by what the cut nodes send through them.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn three_of_six_nodes_cut_served() {
    let set = deployment().await;
    let cut = other_nodes(&set, 3);
    let begin = || set.set_network_fault(&cut, &set.runners, Fault::Hang);
    let samples = send_during_cut(&set, ALL_PATHS, begin).await;
    assert_served(&samples, &cut);
}

/// Guards against a node that keeps choosing the runners that it is cut from.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn node_cut_from_some_runners_served() {
    let set = deployment().await;
    let cut = other_nodes(&set, 1);
    // One of each kind is left: plain, prefill and decode.
    let runners: Vec<Runner> = [0, 1, 3, 5, 6].map(|at| set.runners[at].clone()).into();
    let begin = || set.set_network_fault(&cut, &runners, Fault::Hang);
    let samples = send_during_cut(&set, ALL_PATHS, begin).await;
    assert_served(&samples, &cut);
}

/// Cuts two of six nodes from all runners again and again, and checks what they serve.
async fn flap(fault: Fault) {
    const TURN: Duration = Duration::from_millis(700);
    let set = deployment().await;
    let cut = other_nodes(&set, 2);
    let mut samples = send_during(&set, ALL_PATHS, async || {
        let until = Instant::now() + CUT;
        while Instant::now() < until {
            set.set_network_fault(&cut, &set.runners, fault);
            sleep(TURN).await;
            set.network.heal();
            sleep(TURN).await;
        }
    })
    .await;
    let first = samples.iter().map(|sample| sample.sent).min().expect("requests were sent");
    let window = first + WARM_UP + GRACE..first + WARM_UP + CUT;
    samples.retain(|sample| window.contains(&sample.sent));
    assert_served(&samples, &cut);
}

/// Guards against requests that wait for connections that come and go.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn flapping_cut_by_hang_served() {
    flap(Fault::Hang).await;
}

/// Guards against a node that changes its paths too slowly for a cut that comes and goes.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn flapping_cut_by_reset_served() {
    flap(Fault::Reset).await;
}

/// Guards against a request that runs twice, or after its refusal, because its path failed.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn non_idempotent_request_during_cut_run_at_most_once() {
    const TURN: Duration = Duration::from_millis(800);
    let set = deployment().await;
    let cut = other_nodes(&set, 2);
    let samples = send_during(&set, UNREPEATED_PATHS, async || {
        for fault in [Fault::Hang, Fault::OneWay, Fault::Reset, Fault::Refuse].repeat(2) {
            set.set_network_fault(&cut, &set.runners, fault);
            sleep(TURN).await;
            set.set_network_fault(&cut, &set.runners, Fault::None);
            sleep(TURN / 2).await;
        }
    })
    .await;
    // What was held back arrives when the fault ends.
    sleep(TURN).await;
    let runs: HashMap<String, usize> = run_counts(&set.runners);
    for sample in &samples {
        let count = runs.get(&sample.id).copied().unwrap_or(0);
        let (id, status) = (&sample.id, sample.reply.status);
        assert!(count <= 1, "{id} ran {count} times");
        assert!(count == 0 || !sample.is_refused(), "{id} got {status:?} and ran");
        assert!(count == 1 || !sample.is_served(), "{id} was served and did not run");
    }
    let (served, sent) = count(&samples, |node| !cut.contains(&node));
    assert!(served as f64 >= MIN_SHARE * sent as f64, "{served} of {sent} served at other nodes");
}

/// Guards against a cut scheduler whose view of its runners misleads the other nodes.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn cut_scheduler_served() {
    let set = deployment().await;
    let cut = [scheduler_of(&set, MODEL_SERVICE)];
    let begin = || set.set_network_fault(&cut, &set.runners, Fault::Hang);
    let samples = send_during_cut(&set, &["/count/a", "/tally/a"], begin).await;
    assert_served(&samples, &cut);
}

/// Guards against permits that a cut node no longer grants, or uses up in vain.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn cut_grantor_served() {
    let set = deployment().await;
    // Together more than the requests of all nodes.
    for runner in &set.runners[..3] {
        runner.set_signals(Signals::limit("80"));
    }
    let cut = [scheduler_of(&set, PLAIN_SERVICE)];
    let begin = || set.set_network_fault(&cut, &set.runners, Fault::Hang);
    let samples = send_during_cut(&set, &["/board/a"], begin).await;
    assert_served(&samples, &cut);
}

/// Cuts all nodes from all runners, and checks that each request is refused at once or after one
/// connect timeout.
async fn cut_all_nodes(fault: Fault) {
    let set = deployment().await;
    let cut: Vec<usize> = (0..NODES).collect();
    let begin = || set.set_network_fault(&cut, &set.runners, fault);
    let mut samples = send_during_cut(&set, ALL_PATHS, begin).await;
    let limit = CONNECT_TIMEOUT + TIMER_SLACK;
    // What is sent at the end of the cut may be served after it.
    let last = samples.iter().map(|sample| sample.sent).max().expect("requests were sent");
    samples.retain(|sample| sample.sent + limit < last);
    let table = describe(&samples, &cut);
    println!("{table}");
    for Sample { id, path, reply, .. } in &samples {
        let (status, took) = (reply.status, reply.elapsed);
        assert_eq!(status, Some(StatusCode::SERVICE_UNAVAILABLE), "{id} to {path}{table}");
        assert!(took <= limit, "{id} to {path} was refused after {took:?}{table}");
    }
}

/// Guards against a cut node whose failures to connect and waiting work no metric shows.
#[tokio::test]
async fn connect_failures_and_undelivered_reservations_counted() {
    let set = Deployment::new().await.with_plain(2).await.with_nodes(1).await;
    set.set_network_fault(&[0], &set.runners, Fault::Hang);
    let metrics = &set.nodes[0].shared.metrics;
    let undelivered = || metrics.undelivered_reservations.get();
    let sent = set.send_default("/board/a", "r1");
    let seen = wait_until("a reservation is undelivered", async || undelivered() > 0);
    let (reply, ()) = tokio::join!(sent, seen);
    assert_eq!(reply.status, Some(StatusCode::SERVICE_UNAVAILABLE));
    assert_eq!(undelivered(), 0, "all reservations have ended");
    let count = |runner: &Runner| {
        let labels = [runner.address().to_string(), "timeout".to_owned()];
        metrics.connect_failures.with_label_values(&labels).get()
    };
    assert!(set.runners.iter().map(count).sum::<u64>() > 0, "no failure to connect is counted");
}

/// Guards against requests that are held until their deadlines although no runner can be reached.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn all_nodes_cut_by_hang_refused_promptly() {
    cut_all_nodes(Fault::Hang).await;
}

/// Guards against requests that are answered as if they might have run, although none was sent.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn all_nodes_cut_by_reset_refused_promptly() {
    cut_all_nodes(Fault::Reset).await;
}
