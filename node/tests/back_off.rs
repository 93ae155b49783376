//! Runners that reject requests with `Retry-After`.

use std::time::Duration;

use http::StatusCode;
use sardinepick_testutils::fleet::caller::{Reply, RequestSpec};
use sardinepick_testutils::fleet::deployment::Deployment;
use sardinepick_testutils::fleet::runner::Faults;
use sardinepick_testutils::fleet::signal::Signals;
use tokio::time::{Instant, sleep};

const GENERATION: [(&str, &str); 3] =
    [("model", "m"), ("token-count", "1460,80"), ("prompt-prefix", "5c1e:800,91bd:410,e440:250")];

/// The value of `Retry-After` in these tests.
const RETRY_AFTER: Duration = Duration::from_secs(2);

fn ask<'a>(path: &'a str, id: &'a str) -> RequestSpec<'a> {
    let headers: &[_] = if path.starts_with("/count") { &GENERATION } else { &[] };
    RequestSpec { headers, ..RequestSpec::new(path, id) }
}

fn is_complete(response: &Reply) -> bool {
    response.status == Some(StatusCode::OK) && response.complete
}

/// Makes a runner reject all requests with `Retry-After`.
fn reject_all(set: &Deployment, at: usize) {
    set.runners[at].set_faults(Faults { refuse: true, ..Faults::default() });
    set.runners[at]
        .set_signals(Signals::none().with("retry-after", RETRY_AFTER.as_secs().to_string()));
}

/// Sends requests to a node within the retry time, and checks that each runner receives at most
/// one.
async fn check_backed_off(set: &Deployment, path: &str, runners: &[usize]) {
    for at in runners {
        reject_all(set, *at);
    }
    for n in 0..40 {
        set.send(0, &ask(path, &format!("r{n}"))).await;
        sleep(Duration::from_millis(10)).await;
    }
    for at in runners {
        let runner = &set.runners[*at];
        assert!(
            runner.received().len() <= 1,
            "{} received {} requests",
            runner.id,
            runner.received().len()
        );
    }
}

/// Guards against plain requests to runners that have rejected one with `Retry-After`.
#[tokio::test]
async fn plain_runners_backed_off() {
    let set = Deployment::new().await.with_plain(2).await.with_nodes(1).await;
    check_backed_off(&set, "/board/a", &[0, 1]).await;
}

/// Guards against whole runs and decode stages at engines that have rejected one with
/// `Retry-After`.
#[tokio::test]
async fn decode_runners_backed_off() {
    let set = Deployment::new().await.with_engines(1, 2).await.with_nodes(2).await;
    check_backed_off(&set, "/count/a", &[1, 2]).await;
}

/// Guards against prefill requests to engines that have rejected one with `Retry-After`.
#[tokio::test]
async fn prefill_runners_backed_off() {
    let set = Deployment::new().await.with_engines(2, 1).await.with_nodes(2).await;
    check_backed_off(&set, "/count/a", &[0, 1]).await;
}

/// Guards against callers that are refused although another runner accepts requests.
#[tokio::test]
async fn runner_backed_off_other_runner_answers() {
    let set = Deployment::new().await.with_plain(2).await.with_engines(1, 2).await;
    let set = set.with_nodes(2).await;
    for at in [0, 3] {
        reject_all(&set, at);
    }
    for n in 0..20 {
        for path in ["/board/a", "/count/a"] {
            assert!(is_complete(&set.send(n % 2, &ask(path, &format!("r{n}{path}"))).await));
        }
    }
}

/// Guards against requests that wait, or reach the runner, if the only runner has rejected one.
#[tokio::test]
async fn only_runner_backed_off_requests_refused_immediately() {
    let set = Deployment::new().await.with_plain(1).await.with_nodes(1).await;
    reject_all(&set, 0);
    for n in 0..10 {
        let response = set.send(0, &ask("/board/a", &format!("r{n}"))).await;
        assert_eq!(response.status, Some(StatusCode::SERVICE_UNAVAILABLE));
        let after: f64 = response
            .header("retry-after")
            .expect("retry-after header")
            .parse()
            .expect("number of seconds");
        assert!(
            (0.9..=1.0).contains(&after),
            "retry-after is {after} s instead of a third of the caller's deadline"
        );
        assert!(response.elapsed < Duration::from_millis(500));
    }
    assert_eq!(set.runners[0].received().len(), 1);
}

/// Guards against a runner that is avoided for longer than it asked for, or by nodes whose requests
/// it did not reject.
#[tokio::test]
async fn back_off_ends_on_time_and_is_per_node() {
    let set = Deployment::new().await.with_plain(1).await.with_nodes(2).await;
    reject_all(&set, 0);
    let started = Instant::now();
    set.send(0, &ask("/board/a", "first")).await;
    set.runners[0].set_faults(Faults::default());
    assert!(is_complete(&set.send(1, &ask("/board/a", "other")).await));
    assert!(!is_complete(&set.send(0, &ask("/board/a", "second")).await));
    sleep((RETRY_AFTER + Duration::from_millis(100)).saturating_sub(started.elapsed())).await;
    assert!(is_complete(&set.send(0, &ask("/board/a", "third")).await));
}

/// Guards against a runner that is no longer used after a malformed `Retry-After`.
#[tokio::test]
async fn malformed_retry_after_is_ignored() {
    let set = Deployment::new().await.with_plain(1).await.with_nodes(1).await;
    let long = "9".repeat(4_000);
    let date = "Wed, 21 Oct 2026 07:28:00 GMT";
    for (n, text) in ["-1", "NaN", "inf", "", date, long.as_str()].iter().enumerate() {
        set.runners[0].set_faults(Faults { refuse: true, ..Faults::default() });
        set.runners[0].set_signals(Signals::none().with("retry-after", (*text).to_owned()));
        set.send(0, &ask("/board/a", &format!("s{n}"))).await;
        set.runners[0].set_faults(Faults::default());
        let response = set.send(0, &ask("/board/a", &format!("r{n}"))).await;
        assert!(is_complete(&response), "{text}");
    }
}
