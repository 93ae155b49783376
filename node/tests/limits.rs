//! Runners that name a rate limit: requests a second that they take from all nodes together.

use std::sync::Arc;
use std::time::Duration;

use sardinepick_testutils::fleet::caller::{Ask, Caller};
use sardinepick_testutils::fleet::deployment::Deployment;
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

/// What a runner with a limit of `rate` may get in [`WINDOW`] (users' rule).
fn allowed(rate: f64) -> usize {
    (rate * WINDOW.as_secs_f64() * 1.5) as usize + 5
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
    assert!(came <= allowed(2.0), "{came} requests in {WINDOW:?} at 2 a second");
    assert!(came > 0, "the rate that it names is used");
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
        assert!(came <= allowed(2.0), "{came} requests in {WINDOW:?} at 2 a second");
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
        assert!(came <= allowed(2.0), "{came} requests in {WINDOW:?} at 2 a second");
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
