//! Plain requests whose only usable runners have just rejected them.

use std::time::{Duration, Instant};

use futures_util::future::join_all;
use http::StatusCode;
use sardinepick_lib::fleet::budget::Bounds;
use sardinepick_lib::fleet::plain_wait::{Slots, Wait};
use sardinepick_node::plain_wait::PlainWaits;
use sardinepick_node::serve::metrics::Metrics;
use sardinepick_testutils::fleet::caller::RequestSpec;
use sardinepick_testutils::fleet::deployment::Deployment;
use sardinepick_testutils::fleet::runner::Faults;

const DEADLINE: Duration = Duration::from_millis(900);

fn refuse(set: &Deployment, refuse: bool) {
    let faults = Faults { refuse, ..Faults::default() };
    set.runners.iter().for_each(|runner| runner.set_faults(faults));
}

/// Guards against a refusal as `no_runner` although a slot becomes free some milliseconds later: one of
/// the runners was lost, one is leaving, and the last one is full for a moment.
#[tokio::test]
async fn last_runner_full_for_a_moment_answered() {
    let set = Deployment::new().await.with_plain(3).await.with_nodes(1).await;
    set.runners[0].kill();
    set.runners[1].drain();
    refuse(&set, true);
    for (path, id) in [("/board/a", "r1"), ("/eggs/a", "r2")] {
        refuse(&set, true);
        let spec = RequestSpec { deadline: DEADLINE, ..RequestSpec::new(path, id) };
        let free = async {
            let is_rejected = || set.runners[2].received().iter().any(|call| call.id == id);
            while !is_rejected() {
                tokio::time::sleep(Duration::from_millis(1)).await;
            }
            refuse(&set, false);
        };
        let (reply, ()) = tokio::join!(set.send(0, &spec), free);
        assert_eq!(reply.status, Some(StatusCode::OK), "{path}");
        let calls = set.runners[2].received().into_iter().filter(|call| call.id == id);
        let ran: Vec<bool> = calls.map(|call| call.ran).collect();
        assert!(ran.len() > 1 && ran.iter().filter(|ran| **ran).count() == 1, "{path}: {ran:?}");
    }
}

/// Guards against calls without a bound to a runner that stays full, and against a caller that waits
/// for a refusal until its deadline.
#[tokio::test]
async fn runner_stays_full_refused_early() {
    let set = Deployment::new().await.with_plain(1).await.with_nodes(1).await;
    refuse(&set, true);
    let spec = RequestSpec { deadline: DEADLINE, ..RequestSpec::new("/board/a", "r1") };
    let started = Instant::now();
    let reply = set.send(0, &spec).await;
    assert_eq!(reply.status, Some(StatusCode::SERVICE_UNAVAILABLE));
    assert!(started.elapsed() < DEADLINE, "refused after {:?}", started.elapsed());
    let calls = set.runners[0].received().len();
    assert!((2..=6).contains(&calls), "{calls} calls");
}

/// Guards against waits that spend more than the retry budget has.
#[tokio::test]
async fn budget_used_up_refused() {
    let budget = Bounds { ratio: 0.0, allowance: 1.0, window: Duration::from_secs(10) };
    let set = Deployment::new().await.with_budget(budget).with_plain(1).await.with_nodes(1).await;
    refuse(&set, true);
    for id in ["r1", "r2"] {
        let spec = RequestSpec { deadline: DEADLINE, ..RequestSpec::new("/board/a", id) };
        assert_eq!(set.send(0, &spec).await.status, Some(StatusCode::SERVICE_UNAVAILABLE));
    }
    let calls = set.runners[0].received().len();
    assert!(calls <= 3, "{calls} calls");
}

/// Guards against an unbounded number of requests that wait at a node.
#[tokio::test]
async fn too_many_wait_others_refused_at_once() {
    let waits = PlainWaits::new(Metrics::default());
    let slots = Slots { count: 6, answer_time: 0.06 };
    let wait = async || waits.wait(&mut Wait::default(), DEADLINE, slots, 0.5).await;
    let waited = join_all((0..50).map(|_| wait())).await;
    assert_eq!(waited.into_iter().filter(|waited| *waited).count(), 32);
    assert!(wait().await, "a place is free again");
}
