//! Runners that announce a rate limit: requests a second that they accept from all nodes together.

use std::sync::Arc;
use std::time::Duration;

use http::StatusCode;
use sardinepick_lib::fleet::limit::Rate;
use sardinepick_lib::fleet::pool::Pool;
use sardinepick_lib::fleet::scheduler::holder;
use sardinepick_lib::id::{NodeId, RunnerId, ServiceId};
use sardinepick_testutils::cluster::{any_address, wait_until};
use sardinepick_testutils::fleet::caller::{Ask, Caller};
use sardinepick_testutils::fleet::deployment::{Deployment, PLAIN};
use sardinepick_testutils::fleet::rule::limit_allows;
use sardinepick_testutils::fleet::runner::{Faults, Runner};
use sardinepick_testutils::fleet::signal::Signals;
use tokio::time::{Instant, interval, sleep};

const GENERATION: [(&str, &str); 3] =
    [("model", "m"), ("token-count", "1460,80"), ("prompt-prefix", "5c1e:800,91bd:410,e440:250")];

/// How long nodes are given to hear of a limit.
const HEARD: Duration = Duration::from_secs(1);
/// The window in which requests are counted.
const WINDOW: Duration = Duration::from_secs(3);
/// The pause between two requests to each node.
const PAUSE: Duration = Duration::from_millis(20);

/// Sends requests to all nodes without waiting for their answers, for [`HEARD`] and [`WINDOW`].
async fn flood(set: &Deployment, path: &'static str) {
    let mut ticks = interval(PAUSE);
    let until = Instant::now() + HEARD + WINDOW;
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
                caller.send(front, &Ask { headers, ..Ask::new(path, &id) }).await
            });
        }
    }
}

fn arrivals(runner: &Runner, since: Instant) -> usize {
    runner.seen().iter().filter(|seen| seen.at.is_some_and(|at| at >= since)).count()
}

/// Guards against a limited runner that gets more than its rate of plain requests.
#[tokio::test]
async fn plain_runner_limited_rate_kept() {
    let set = Deployment::new().await.with_plain(2).await.with_nodes(3).await;
    set.runners[0].set_signals(Signals::limit("2"));
    let takes = Duration::from_millis(40);
    set.runners[1].set_faults(Faults { takes, ..Faults::default() });
    let counted_from = Instant::now() + HEARD;
    flood(&set, "/board/a").await;
    let came = arrivals(&set.runners[0], counted_from);
    assert!(came <= limit_allows(2.0, WINDOW), "{came} requests in {WINDOW:?} at 2 a second");
    assert!(came > 0, "the rate that it announces is used");
}

/// Guards against a limited engine that gets more than its rate of prompts to read.
#[tokio::test]
async fn prefill_runner_limited_rate_kept() {
    let set = Deployment::new().await.with_engines(2, 2).await.with_nodes(3).await;
    for runner in &set.runners[..2] {
        runner.set_signals(Signals::limit("2"));
    }
    let counted_from = Instant::now() + HEARD;
    flood(&set, "/count/a").await;
    for runner in &set.runners[..2] {
        let came = arrivals(runner, counted_from);
        assert!(came <= limit_allows(2.0, WINDOW), "{came} requests in {WINDOW:?} at 2 a second");
    }
}

/// Guards against a limited engine that gets more than its rate of streams, whole or second stages.
#[tokio::test]
async fn decode_runner_limited_rate_kept() {
    let set = Deployment::new().await.with_engines(1, 3).await.with_nodes(3).await;
    for runner in &set.runners[1..3] {
        runner.set_signals(Signals::limit("2"));
    }
    let counted_from = Instant::now() + HEARD;
    flood(&set, "/count/a").await;
    for runner in &set.runners[1..3] {
        let came = arrivals(runner, counted_from);
        assert!(came <= limit_allows(2.0, WINDOW), "{came} requests in {WINDOW:?} at 2 a second");
    }
}

/// Guards against requests that wait, or go on to a limited runner, where all runners are limited.
#[tokio::test]
async fn plain_runners_all_limited_refused_at_once() {
    let set = Deployment::new().await.with_plain(1).await.with_nodes(2).await;
    set.runners[0].set_signals(Signals::limit("1"));
    assert_eq!(set.ask("/board/a", "first").await.text(), "answer to first");
    sleep(HEARD).await;
    let counted_from = Instant::now();
    let mut refused = 0;
    for n in 0..40 {
        let told = set.send(n % 2, &Ask::new("/board/a", &format!("r{n}"))).await;
        if told.status.is_some_and(|status| status == 503) {
            refused += 1;
            let after: f64 = told.header("retry-after").expect("a time").parse().expect("seconds");
            assert!((0.0..=1.0).contains(&after), "come back in {after} s");
        }
    }
    let spent = counted_from.elapsed().as_secs_f64();
    let came = arrivals(&set.runners[0], counted_from);
    assert!(came as f64 <= spent * 1.5 + 5.0, "{came} requests in {spent} s at 1 a second");
    assert_eq!(refused, 40 - came, "what is not run is refused");
}

fn id(runner: &Runner) -> RunnerId {
    runner.id.parse().expect("an id")
}

/// The rate that a node takes a runner to announce.
fn rate(set: &Deployment, node: usize, runner: usize) -> Option<f64> {
    let register = set.nodes[node].shared.register();
    register.get(&id(&set.runners[runner]))?.limit.rate().map(Rate::per_second)
}

/// Guards against a limit that is heard from some answers only, or by the node alone that got them.
#[tokio::test]
async fn limit_announced_any_answer_all_nodes_hear() {
    let none = Faults::default();
    let late = Faults { pause: Duration::from_secs(2), ..none };
    let cases = [
        ("plain", none, "/board/a"),
        ("failed", Faults { fails: true, ..none }, "/board/a"),
        ("not run", Faults { sheds: true, ..none }, "/board/a"),
        ("head of a stream", late, "/count/a"),
        ("cut", Faults { cut_after: Some(1), ..none }, "/count/a"),
    ];
    for (case, faults, path) in cases {
        let set = Deployment::new().await.with_plain(1).await.with_engines(0, 1).await;
        let set = set.with_nodes(3).await;
        let at = usize::from(path == "/count/a");
        set.runners[at].set_faults(faults);
        set.runners[at].set_signals(Signals::limit("3.5"));
        let (caller, front) = (Caller::default(), set.front(0));
        let asked = tokio::spawn(async move {
            caller.send(front, &Ask { headers: &GENERATION, ..Ask::new(path, "r1") }).await
        });
        wait_until(case, async || (0..3).all(|node| rate(&set, node, at) == Some(3.5))).await;
        asked.abort();
    }
}

/// Guards against a limit that is not heard from the answer to the reading of a prompt.
#[tokio::test]
async fn limit_announced_prompt_read_heard() {
    let set = Deployment::new().await.with_engines(1, 1).await.with_nodes(1).await;
    set.runners[0].set_signals(Signals::limit("3.5"));
    for n in 0..3 {
        let headers = &GENERATION;
        set.send(0, &Ask { headers, ..Ask::new("/count/a", &format!("r{n}")) }).await;
    }
    assert_eq!(rate(&set, 0, 0), Some(3.5));
}

/// Guards against a runner that stays limited when its limit is over.
#[tokio::test]
async fn limit_not_announced_any_more_lifted() {
    let set = Deployment::new().await.with_plain(1).await.with_nodes(2).await;
    set.runners[0].set_signals(Signals::limit("4"));
    set.ask("/board/a", "r0").await;
    wait_until("both know", async || (0..2).all(|n| rate(&set, n, 0) == Some(4.0))).await;
    set.runners[0].set_signals(Signals::none());
    wait_until("a request is let through", async || {
        set.ask("/board/a", "r").await.status == Some(StatusCode::OK)
    })
    .await;
    wait_until("both know", async || (0..2).all(|n| rate(&set, n, 0).is_none())).await;
    for n in 0..20 {
        let told = set.send(n % 2, &Ask::new("/board/a", &format!("s{n}"))).await;
        assert_eq!(told.status, Some(StatusCode::OK));
    }
}

/// Guards against a runner that is limited by what its former life announced.
#[tokio::test]
async fn runner_started_again_not_limited() {
    let mut set = Deployment::new().await.with_plain(1).await.with_nodes(1).await;
    set.runners[0].set_signals(Signals::limit("1"));
    set.ask("/board/a", "r0").await;
    assert_eq!(rate(&set, 0, 0), Some(1.0));
    set.runners[0] = set.runners[0].start_again(any_address()).await.expect("a free address");
    wait_until("its new life is known", async || rate(&set, 0, 0).is_none()).await;
    for n in 0..20 {
        assert_eq!(set.ask("/board/a", &format!("s{n}")).await.status, Some(StatusCode::OK));
    }
}

/// Guards against a runner that is lost by one malformed answer.
#[tokio::test]
async fn limit_malformed_runner_used() {
    let set = Deployment::new().await.with_plain(1).await.with_nodes(1).await;
    let long = "9".repeat(4_000);
    for (n, text) in ["-1", "NaN", "inf", "", "1e3", "soon", long.as_str()].iter().enumerate() {
        set.runners[0].set_signals(Signals::limit((*text).to_owned()));
        for m in 0..10 {
            let told = set.ask("/board/a", &format!("r{n}-{m}")).await;
            assert_eq!(told.status, Some(StatusCode::OK), "{text}");
        }
        assert_eq!(rate(&set, 0, 0), None, "{text}");
    }
    set.runners[0].set_signals(Signals::limit("7").with("server-limit", "5"));
    set.ask("/board/a", "two").await;
    assert_eq!(rate(&set, 0, 0), Some(5.0), "the lower of two");
}

/// Guards against a node that does not know of a limit when it starts.
#[tokio::test]
async fn node_started_late_hears_of_limit() {
    let mut set = Deployment::new().await.with_plain(1).await.with_nodes(2).await;
    set.runners[0].set_signals(Signals::limit("2"));
    set.ask("/board/a", "r0").await;
    wait_until("both know", async || (0..2).all(|n| rate(&set, n, 0).is_some())).await;
    let seeds = set.nodes.iter().map(|node| node.shared.me.peer).collect();
    set.add_node("edge-late", seeds).await;
    wait_until("the third knows", async || rate(&set, 2, 0) == Some(2.0)).await;
    assert_eq!(arrivals(&set.runners[0], Instant::now() - Duration::from_secs(60)), 1);
}

/// Guards against a rate that nobody grants, or two nodes grant, when the node that grants it ends.
#[tokio::test]
async fn granting_node_ends_rate_kept_and_used() {
    let mut set = Deployment::new().await.with_plain(1).await.with_nodes(4).await;
    set.runners[0].set_signals(Signals::limit("3"));
    set.ask("/board/a", "r0").await;
    wait_until("all know", async || (0..4).all(|n| rate(&set, n, 0).is_some())).await;
    let service: ServiceId = PLAIN.parse().expect("an id");
    let names: Vec<NodeId> = set.nodes.iter().map(|n| n.shared.me.id.clone()).collect();
    let first = holder(&service, Pool(0), names.iter()).expect("there are nodes").clone();
    let at = names.iter().position(|name| *name == first).expect("it is one of them");
    let node = set.nodes.remove(at);
    let stopping = tokio::spawn(node.stop());
    let counted_from = Instant::now();
    flood(&set, "/board/a").await;
    let spent = counted_from.elapsed().as_secs_f64();
    let came = arrivals(&set.runners[0], counted_from) as f64;
    assert!(came <= 3.0 * spent * 1.5 + 5.0, "{came} requests in {spent} s at 3 a second");
    assert!(came >= 3.0 * spent / 3.0, "{came} requests in {spent} s at 3 a second");
    stopping.abort();
}

/// Guards against prompts that are read for nothing, since no engine goes on with them.
#[tokio::test]
async fn decode_runners_all_limited_few_prompts_read_in_vain() {
    let set = Deployment::new().await.with_engines(2, 2).await.with_nodes(3).await;
    for runner in &set.runners[2..] {
        runner.set_signals(Signals::limit("10"));
    }
    for runner in &set.runners[..2] {
        let takes = Duration::from_millis(100);
        runner.set_faults(Faults { takes, ..Faults::default() });
    }
    let counted_from = Instant::now() + HEARD;
    flood(&set, "/count/a").await;
    let reads: usize = set.runners[..2].iter().map(|r| arrivals(r, counted_from)).sum();
    let runs: usize = set.runners[2..].iter().map(|r| arrivals(r, counted_from)).sum();
    assert!(reads <= runs * 3 / 2, "{reads} prompts read for {runs} runs");
    let rate = 2.0 * 10.0 * WINDOW.as_secs_f64();
    assert!(runs as f64 >= rate / 2.0, "{runs} runs where {rate} are allowed");
}

/// Guards against callers that are refused though engines without a limit could take their requests.
#[tokio::test]
async fn some_engines_limited_others_answer_all() {
    let set = Deployment::new().await.with_engines(4, 5).await.with_nodes(3).await;
    for (at, rate) in [(0, "2"), (4, "6.7"), (5, "4.3"), (6, "2")] {
        set.runners[at].set_signals(Signals::limit(rate));
    }
    let counted_from = Instant::now() + HEARD;
    let mut ticks = interval(Duration::from_millis(13));
    let mut asked = Vec::new();
    let mut n = 0;
    while Instant::now() < counted_from + WINDOW {
        ticks.tick().await;
        n += 1;
        let front = set.front(n % 3);
        asked.push(tokio::spawn(async move {
            let prefix = format!("{:x}:800,{:x}:410,{n:x}:250", n % 7, 100 + n % 31);
            let headers = [("model", "m"), ("token-count", "1460,80"), ("prompt-prefix", &prefix)];
            let id = format!("r{n}");
            let ask = Ask { headers: &headers, ..Ask::new("/count/a", &id) };
            Caller::default().send(front, &ask).await.status
        }));
    }
    let mut refused = 0;
    for one in asked {
        refused += usize::from(one.await.expect("it ends") != Some(StatusCode::OK));
    }
    assert_eq!(refused, 0, "of {n}");
    for (at, rate) in [(0, 2.0), (4, 6.7), (5, 4.3), (6, 2.0)] {
        assert!(arrivals(&set.runners[at], counted_from) <= limit_allows(rate, WINDOW));
    }
}
