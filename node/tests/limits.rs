//! Runners that announce a rate limit: the number of requests per second that they accept from all
//! nodes together.

use std::sync::Arc;
use std::time::Duration;

use http::StatusCode;
use sardinepick_lib::fleet::limit::Rate;
use sardinepick_lib::fleet::pool::Pool;
use sardinepick_lib::fleet::scheduler::choose_scheduler;
use sardinepick_lib::id::{NodeId, RunnerId, ServiceId};
use sardinepick_testutils::cluster::{any_address, wait_until};
use sardinepick_testutils::fleet::caller::{Caller, RequestSpec};
use sardinepick_testutils::fleet::deployment::{Deployment, MODEL_SERVICE, PLAIN_SERVICE};
use sardinepick_testutils::fleet::killable_node::KillableNode;
use sardinepick_testutils::fleet::rate_limit::max_requests;
use sardinepick_testutils::fleet::runner::{Faults, Runner};
use sardinepick_testutils::fleet::signal::Signals;
use tokio::time::{Instant, interval, sleep};

const GENERATION: [(&str, &str); 3] =
    [("model", "m"), ("token-count", "1460,80"), ("prompt-prefix", "5c1e:800,91bd:410,e440:250")];

/// How long nodes are given to learn of a limit.
const GOSSIP_TIME: Duration = Duration::from_secs(1);
/// How long arrivals are counted.
const WINDOW: Duration = Duration::from_secs(3);
/// The interval between requests to each node.
const REQUEST_INTERVAL: Duration = Duration::from_millis(20);

/// Sends requests to all nodes without waiting for responses, for [`GOSSIP_TIME`] and then
/// [`WINDOW`].
async fn flood(set: &Deployment, path: &'static str) {
    let mut ticks = interval(REQUEST_INTERVAL);
    let until = Instant::now() + GOSSIP_TIME + WINDOW;
    let caller = Arc::new(Caller::default());
    let mut number = 0;
    while Instant::now() < until {
        ticks.tick().await;
        for at in 0..set.nodes.len() {
            number += 1;
            let (caller, front) = (caller.clone(), set.front(at));
            let id = format!("f{number}");
            tokio::spawn(async move {
                let headers: &[_] = if path.starts_with("/count") { &GENERATION } else { &[] };
                caller.send(front, &RequestSpec { headers, ..RequestSpec::new(path, &id) }).await
            });
        }
    }
}

fn arrivals(runner: &Runner, since: Instant) -> usize {
    runner.received().iter().filter(|seen| seen.at.is_some_and(|at| at >= since)).count()
}

/// Guards against plain requests that exceed a runner's rate limit.
#[tokio::test]
async fn plain_runner_rate_limit_respected() {
    let set = Deployment::new().await.with_plain(2).await.with_nodes(3).await;
    set.runners[0].set_signals(Signals::limit("2"));
    let response_delay = Duration::from_millis(40);
    set.runners[1].set_faults(Faults { response_delay, ..Faults::default() });
    let counted_from = Instant::now() + GOSSIP_TIME;
    flood(&set, "/board/a").await;
    let count = arrivals(&set.runners[0], counted_from);
    assert!(count <= max_requests(2.0, WINDOW), "{count} requests in {WINDOW:?} at 2 per second");
    assert!(count > 0, "none of the announced rate is used");
}

/// Guards against prefill requests that exceed an engine's rate limit.
#[tokio::test]
async fn prefill_runner_rate_limit_respected() {
    let set = Deployment::new().await.with_engines(2, 2).await.with_nodes(3).await;
    for runner in &set.runners[..2] {
        runner.set_signals(Signals::limit("2"));
    }
    let counted_from = Instant::now() + GOSSIP_TIME;
    flood(&set, "/count/a").await;
    for runner in &set.runners[..2] {
        let count = arrivals(runner, counted_from);
        assert!(
            count <= max_requests(2.0, WINDOW),
            "{count} requests in {WINDOW:?} at 2 per second"
        );
    }
}

/// Guards against streams that exceed an engine's rate limit, both whole runs and decode stages.
#[tokio::test]
async fn decode_runner_rate_limit_respected() {
    let set = Deployment::new().await.with_engines(1, 3).await.with_nodes(3).await;
    for runner in &set.runners[1..3] {
        runner.set_signals(Signals::limit("2"));
    }
    let counted_from = Instant::now() + GOSSIP_TIME;
    flood(&set, "/count/a").await;
    for runner in &set.runners[1..3] {
        let count = arrivals(runner, counted_from);
        assert!(
            count <= max_requests(2.0, WINDOW),
            "{count} requests in {WINDOW:?} at 2 per second"
        );
    }
}

/// Guards against requests that wait, or exceed the limits, if all runners are rate-limited.
#[tokio::test]
async fn all_plain_runners_limited_requests_refused_immediately() {
    let set = Deployment::new().await.with_plain(1).await.with_nodes(2).await;
    set.runners[0].set_signals(Signals::limit("1"));
    assert_eq!(set.send_default("/board/a", "first").await.text(), "answer to first");
    sleep(GOSSIP_TIME).await;
    let counted_from = Instant::now();
    let mut refused = 0;
    for n in 0..40 {
        let response = set.send(n % 2, &RequestSpec::new("/board/a", &format!("r{n}"))).await;
        if response.status.is_some_and(|status| status == 503) {
            refused += 1;
            let after: f64 = response
                .header("retry-after")
                .expect("retry-after header")
                .parse()
                .expect("number of seconds");
            assert!((0.0..=1.0).contains(&after), "retry-after is {after} s");
        }
    }
    let elapsed = counted_from.elapsed().as_secs_f64();
    let count = arrivals(&set.runners[0], counted_from);
    assert!(count as f64 <= elapsed * 1.5 + 5.0, "{count} requests in {elapsed} s at 1 per second");
    assert_eq!(refused, 40 - count, "requests that did not run must be refused");
}

fn id(runner: &Runner) -> RunnerId {
    runner.id.parse().expect("valid ID")
}

/// The rate limit of a runner, as a node knows it.
fn rate(set: &Deployment, node: usize, runner: usize) -> Option<f64> {
    let register = set.nodes[node].shared.register();
    register.get(&id(&set.runners[runner]))?.limit.rate().map(Rate::per_second)
}

/// Guards against a limit that is only picked up from some kinds of responses, or that stays on the
/// node that received the response.
#[tokio::test]
async fn limit_in_any_response_known_to_all_nodes() {
    let none = Faults::default();
    let late = Faults { event_interval: Duration::from_secs(2), ..none };
    let cases = [
        ("plain", none, "/board/a"),
        ("failed", Faults { respond_500: true, ..none }, "/board/a"),
        ("not run", Faults { refuse: true, ..none }, "/board/a"),
        ("head of a stream", late, "/count/a"),
        ("cut", Faults { abort_after: Some(1), ..none }, "/count/a"),
    ];
    for (case, faults, path) in cases {
        let set = Deployment::new().await.with_plain(1).await.with_engines(0, 1).await;
        let set = set.with_nodes(3).await;
        let at = usize::from(path == "/count/a");
        set.runners[at].set_faults(faults);
        set.runners[at].set_signals(Signals::limit("3.5"));
        let (caller, front) = (Caller::default(), set.front(0));
        let task = tokio::spawn(async move {
            caller
                .send(front, &RequestSpec { headers: &GENERATION, ..RequestSpec::new(path, "r1") })
                .await
        });
        wait_until(case, async || (0..3).all(|node| rate(&set, node, at) == Some(3.5))).await;
        task.abort();
    }
}

/// Guards against a limit that is not picked up from the response to a prefill request.
#[tokio::test]
async fn limit_in_prefill_response_known() {
    let set = Deployment::new().await.with_engines(1, 1).await.with_nodes(1).await;
    set.runners[0].set_signals(Signals::limit("3.5"));
    for n in 0..3 {
        let headers = &GENERATION;
        set.send(0, &RequestSpec { headers, ..RequestSpec::new("/count/a", &format!("r{n}")) })
            .await;
    }
    assert_eq!(rate(&set, 0, 0), Some(3.5));
}

/// Guards against a runner that stays limited after it has stopped announcing its limit.
#[tokio::test]
async fn limit_no_longer_announced_is_lifted() {
    let set = Deployment::new().await.with_plain(1).await.with_nodes(2).await;
    set.runners[0].set_signals(Signals::limit("4"));
    set.send_default("/board/a", "r0").await;
    wait_until("both nodes know the limit", async || (0..2).all(|n| rate(&set, n, 0) == Some(4.0)))
        .await;
    set.runners[0].set_signals(Signals::none());
    wait_until("a request succeeds", async || {
        set.send_default("/board/a", "r").await.status == Some(StatusCode::OK)
    })
    .await;
    wait_until("both nodes drop the limit", async || (0..2).all(|n| rate(&set, n, 0).is_none()))
        .await;
    for n in 0..20 {
        let response = set.send(n % 2, &RequestSpec::new("/board/a", &format!("s{n}"))).await;
        assert_eq!(response.status, Some(StatusCode::OK));
    }
}

/// Guards against a restarted runner that is limited by what its previous process announced.
#[tokio::test]
async fn restarted_runner_is_not_limited() {
    let mut set = Deployment::new().await.with_plain(1).await.with_nodes(1).await;
    set.runners[0].set_signals(Signals::limit("1"));
    set.send_default("/board/a", "r0").await;
    assert_eq!(rate(&set, 0, 0), Some(1.0));
    set.runners[0] = set.runners[0].restart(any_address()).await.expect("free address");
    wait_until("the new process is known", async || rate(&set, 0, 0).is_none()).await;
    for n in 0..20 {
        assert_eq!(
            set.send_default("/board/a", &format!("s{n}")).await.status,
            Some(StatusCode::OK)
        );
    }
}

/// Guards against a runner that is no longer used after a malformed announcement.
#[tokio::test]
async fn malformed_limit_is_ignored() {
    let set = Deployment::new().await.with_plain(1).await.with_nodes(1).await;
    let long = "9".repeat(4_000);
    for (n, text) in ["-1", "NaN", "inf", "", "1e3", "soon", long.as_str()].iter().enumerate() {
        set.runners[0].set_signals(Signals::limit((*text).to_owned()));
        for m in 0..10 {
            let response = set.send_default("/board/a", &format!("r{n}-{m}")).await;
            assert_eq!(response.status, Some(StatusCode::OK), "{text}");
        }
        assert_eq!(rate(&set, 0, 0), None, "{text}");
    }
    set.runners[0].set_signals(Signals::limit("7").with("server-limit", "5"));
    set.send_default("/board/a", "two").await;
    assert_eq!(rate(&set, 0, 0), Some(5.0), "the lower of two");
}

/// Guards against a node that joins later and does not learn of an existing limit.
#[tokio::test]
async fn node_started_later_learns_limit() {
    let mut set = Deployment::new().await.with_plain(1).await.with_nodes(2).await;
    set.runners[0].set_signals(Signals::limit("2"));
    set.send_default("/board/a", "r0").await;
    wait_until("both nodes know the limit", async || (0..2).all(|n| rate(&set, n, 0).is_some()))
        .await;
    let seeds = set.nodes.iter().map(|node| node.shared.me.peer).collect();
    set.add_node("edge-late", seeds).await;
    wait_until("the third node knows the limit", async || rate(&set, 2, 0) == Some(2.0)).await;
    assert_eq!(arrivals(&set.runners[0], Instant::now() - Duration::from_secs(60)), 1);
}

/// Guards against a rate that no node grants, or two nodes grant, after the granting node has
/// stopped.
#[tokio::test]
async fn granting_node_stops_rate_still_granted_once() {
    let mut set = Deployment::new().await.with_plain(1).await.with_nodes(4).await;
    set.runners[0].set_signals(Signals::limit("3"));
    set.send_default("/board/a", "r0").await;
    wait_until("all nodes know the limit", async || (0..4).all(|n| rate(&set, n, 0).is_some()))
        .await;
    let service: ServiceId = PLAIN_SERVICE.parse().expect("valid ID");
    let names: Vec<NodeId> = set.nodes.iter().map(|n| n.shared.me.id.clone()).collect();
    let first =
        choose_scheduler(&service, Pool(0), names.iter()).expect("at least one node").clone();
    let at = names.iter().position(|name| *name == first).expect("the holder is one of the nodes");
    let node = set.nodes.remove(at);
    let stopping = tokio::spawn(node.stop());
    let counted_from = Instant::now();
    flood(&set, "/board/a").await;
    let elapsed = counted_from.elapsed().as_secs_f64();
    let count = arrivals(&set.runners[0], counted_from) as f64;
    assert!(count <= 3.0 * elapsed * 1.5 + 5.0, "{count} requests in {elapsed} s at 3 per second");
    assert!(count >= 3.0 * elapsed / 3.0, "{count} requests in {elapsed} s at 3 per second");
    stopping.abort();
}

/// Guards against prompts that are processed in vain because no decode runner may accept them.
#[tokio::test]
async fn all_decode_runners_limited_few_prefills_wasted() {
    let set = Deployment::new().await.with_engines(2, 2).await.with_nodes(3).await;
    for runner in &set.runners[2..] {
        runner.set_signals(Signals::limit("10"));
    }
    for runner in &set.runners[..2] {
        let response_delay = Duration::from_millis(100);
        runner.set_faults(Faults { response_delay, ..Faults::default() });
    }
    let counted_from = Instant::now() + GOSSIP_TIME;
    flood(&set, "/count/a").await;
    let reads: usize = set.runners[..2].iter().map(|r| arrivals(r, counted_from)).sum();
    let runs: usize = set.runners[2..].iter().map(|r| arrivals(r, counted_from)).sum();
    assert!(reads <= runs * 3 / 2, "{reads} prefills for {runs} runs");
    let rate = 2.0 * 10.0 * WINDOW.as_secs_f64();
    assert!(runs as f64 >= rate / 2.0, "{runs} runs, {rate} allowed");
}

/// Guards against prompts that are processed in vain because the node that grants permits does not
/// reply.
#[tokio::test]
async fn grantor_silent_no_prefill_wasted() {
    let set = Deployment::new().await.with_engines(1, 2).await;
    for runner in &set.runners[1..] {
        runner.set_signals(Signals::limit("10"));
    }
    let names: Vec<NodeId> = ["edge-0", "edge-1"].map(|n| n.parse().expect("valid ID")).into();
    let first = KillableNode::start(set.settings(names[0].as_str(), Vec::new())).await;
    let first = first.expect("free addresses");
    let seeds = vec![first.shared.me.peer];
    let second = KillableNode::start(set.settings(names[1].as_str(), seeds)).await;
    let nodes = [first, second.expect("free addresses")];
    wait_until("the nodes know each other", async || {
        nodes.iter().all(|node| {
            node.shared.is_ready()
                && node.shared.roster().ready_contacts().len() == 1
                && node.shared.register().runners().count() == set.runners.len()
        })
    })
    .await;
    let service: ServiceId = MODEL_SERVICE.parse().expect("valid ID");
    let grantor = choose_scheduler(&service, Pool(0), names.iter()).expect("two nodes");
    let (grantor, asking) =
        if *grantor == names[0] { (&nodes[0], &nodes[1]) } else { (&nodes[1], &nodes[0]) };
    let front = asking.shared.me.front;
    let send = async |id: &str| {
        let request = RequestSpec { headers: &GENERATION, ..RequestSpec::new("/count/a", id) };
        set.caller.send(front, &request).await
    };
    wait_until("the asking node knows both limits", async || {
        send("warm-up").await;
        let register = asking.shared.register();
        set.runners[1..]
            .iter()
            .all(|r| register.get(&id(r)).is_some_and(|r| r.limit.rate().is_some()))
    })
    .await;
    sleep(WINDOW / 3).await;
    grantor.drop_datagrams(true);
    let counted_from = Instant::now();
    for n in 0..20 {
        send(&format!("r{n}")).await;
        sleep(Duration::from_millis(60)).await;
    }
    let reads = arrivals(&set.runners[0], counted_from);
    let runs: usize = set.runners[1..].iter().map(|r| arrivals(r, counted_from)).sum();
    assert_eq!(reads, runs, "{reads} prefills for {runs} runs");
}

/// Guards against callers that are refused although engines without a limit could serve them.
#[tokio::test]
async fn requests_served_by_engines_without_limit() {
    let set = Deployment::new().await.with_engines(4, 5).await.with_nodes(3).await;
    for (at, rate) in [(0, "2"), (4, "6.7"), (5, "4.3"), (6, "2")] {
        set.runners[at].set_signals(Signals::limit(rate));
    }
    let counted_from = Instant::now() + GOSSIP_TIME;
    let mut ticks = interval(Duration::from_millis(13));
    let mut tasks = Vec::new();
    let mut n = 0;
    while Instant::now() < counted_from + WINDOW {
        ticks.tick().await;
        n += 1;
        let front = set.front(n % 3);
        tasks.push(tokio::spawn(async move {
            let prefix = format!("{:x}:800,{:x}:410,{n:x}:250", n % 7, 100 + n % 31);
            let headers = [("model", "m"), ("token-count", "1460,80"), ("prompt-prefix", &prefix)];
            let id = format!("r{n}");
            let ask = RequestSpec { headers: &headers, ..RequestSpec::new("/count/a", &id) };
            Caller::default().send(front, &ask).await.status
        }));
    }
    let mut refused = 0;
    for task in tasks {
        refused +=
            usize::from(task.await.expect("the task does not panic") != Some(StatusCode::OK));
    }
    assert_eq!(refused, 0, "refused requests of {n}");
    for (at, rate) in [(0, 2.0), (4, 6.7), (5, 4.3), (6, 2.0)] {
        assert!(arrivals(&set.runners[at], counted_from) <= max_requests(rate, WINDOW));
    }
}
