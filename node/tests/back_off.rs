//! Runners that reject requests with a time to retry after.

use std::time::Duration;

use http::StatusCode;
use sardinepick_testutils::fleet::caller::{Ask, Told};
use sardinepick_testutils::fleet::deployment::Deployment;
use sardinepick_testutils::fleet::runner::Faults;
use sardinepick_testutils::fleet::signal::Signals;
use tokio::time::{Instant, sleep};

const GENERATION: [(&str, &str); 3] =
    [("model", "m"), ("token-count", "1460,80"), ("prompt-prefix", "5c1e:800,91bd:410,e440:250")];

/// The time to retry after in these tests.
const PAUSE: Duration = Duration::from_secs(2);

fn ask<'a>(path: &'a str, id: &'a str) -> Ask<'a> {
    let headers: &[_] = if path.starts_with("/count") { &GENERATION } else { &[] };
    Ask { headers, ..Ask::new(path, id) }
}

fn is_answered(told: &Told) -> bool {
    told.status == Some(StatusCode::OK) && told.whole
}

/// Has a runner refuse all with `Retry-After`.
fn refuse(set: &Deployment, at: usize) {
    set.runners[at].set_faults(Faults { sheds: true, ..Faults::default() });
    set.runners[at].set_signals(Signals::none().with("retry-after", PAUSE.as_secs().to_string()));
}

/// Sends requests to a node within the time to retry after, and checks that no runner gets more than one.
async fn check_left_alone(set: &Deployment, path: &str, runners: &[usize]) {
    for at in runners {
        refuse(set, *at);
    }
    for n in 0..40 {
        set.send(0, &ask(path, &format!("r{n}"))).await;
        sleep(Duration::from_millis(10)).await;
    }
    for at in runners {
        let runner = &set.runners[*at];
        assert!(runner.seen().len() <= 1, "{} got {}", runner.id, runner.seen().len());
    }
}

/// Guards against plain requests to runners that have refused one with Retry-After.
#[tokio::test]
async fn plain_runners_refused_with_time_left_alone() {
    let set = Deployment::new().await.with_plain(2).await.with_nodes(1).await;
    check_left_alone(&set, "/board/a", &[0, 1]).await;
}

/// Guards against runs and second stages at engines that have refused one with Retry-After.
#[tokio::test]
async fn decode_runners_refused_with_time_left_alone() {
    let set = Deployment::new().await.with_engines(1, 2).await.with_nodes(2).await;
    check_left_alone(&set, "/count/a", &[1, 2]).await;
}

/// Guards against readings of prompts at engines that have refused one with Retry-After.
#[tokio::test]
async fn prefill_runners_refused_with_time_left_alone() {
    let set = Deployment::new().await.with_engines(2, 1).await.with_nodes(2).await;
    check_left_alone(&set, "/count/a", &[0, 1]).await;
}

/// Guards against callers that are refused though another runner takes their request.
#[tokio::test]
async fn runner_refused_with_time_other_runner_answers() {
    let set = Deployment::new().await.with_plain(2).await.with_engines(1, 2).await;
    let set = set.with_nodes(2).await;
    for at in [0, 3] {
        refuse(&set, at);
    }
    for n in 0..20 {
        for path in ["/board/a", "/count/a"] {
            assert!(is_answered(&set.send(n % 2, &ask(path, &format!("r{n}{path}"))).await));
        }
    }
}

/// Guards against requests that wait, or go to the runner, where it is the only one.
#[tokio::test]
async fn only_runner_refused_with_time_refused_at_once() {
    let set = Deployment::new().await.with_plain(1).await.with_nodes(1).await;
    refuse(&set, 0);
    for n in 0..10 {
        let told = set.send(0, &ask("/board/a", &format!("r{n}"))).await;
        assert_eq!(told.status, Some(StatusCode::SERVICE_UNAVAILABLE));
        let after: f64 = told.header("retry-after").expect("a time").parse().expect("seconds");
        assert!((0.9..=1.0).contains(&after), "a third of the caller's time, not {after} s");
        assert!(told.took < Duration::from_millis(500));
    }
    assert_eq!(set.runners[0].seen().len(), 1);
}

/// Guards against a runner that is left alone for longer than it said, or by nodes that it did not
/// refuse.
#[tokio::test]
async fn runner_refused_with_time_used_after_it_and_by_others() {
    let set = Deployment::new().await.with_plain(1).await.with_nodes(2).await;
    refuse(&set, 0);
    let began = Instant::now();
    set.send(0, &ask("/board/a", "first")).await;
    set.runners[0].set_faults(Faults::default());
    assert!(is_answered(&set.send(1, &ask("/board/a", "other")).await));
    assert!(!is_answered(&set.send(0, &ask("/board/a", "second")).await));
    sleep((PAUSE + Duration::from_millis(100)).saturating_sub(began.elapsed())).await;
    assert!(is_answered(&set.send(0, &ask("/board/a", "third")).await));
}

/// Guards against a runner that is lost by one malformed answer.
#[tokio::test]
async fn runner_refused_with_malformed_time_used() {
    let set = Deployment::new().await.with_plain(1).await.with_nodes(1).await;
    let long = "9".repeat(4_000);
    let date = "Wed, 21 Oct 2026 07:28:00 GMT";
    for (n, text) in ["-1", "NaN", "inf", "", date, long.as_str()].iter().enumerate() {
        set.runners[0].set_faults(Faults { sheds: true, ..Faults::default() });
        set.runners[0].set_signals(Signals::none().with("retry-after", (*text).to_owned()));
        set.send(0, &ask("/board/a", &format!("s{n}"))).await;
        set.runners[0].set_faults(Faults::default());
        let told = set.send(0, &ask("/board/a", &format!("r{n}"))).await;
        assert!(is_answered(&told), "{text}");
    }
}
