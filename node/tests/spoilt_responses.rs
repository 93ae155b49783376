//! Runners whose responses are spoilt in such a way that they seem to say that a request did not run.

use std::time::Duration;

use futures_util::future::join_all;
use sardinepick_testutils::fleet::caller::RequestSpec;
use sardinepick_testutils::fleet::deployment::Deployment;
use sardinepick_testutils::fleet::runner::Faults;
use sardinepick_testutils::fleet::spoiler::{Spoil, Spoiler};

const DEADLINE: Duration = Duration::from_millis(1_500);
/// Within the value of a header that comes before the one that names the request.
const CUT_REJECTION: usize = 66;

/// Sends more requests than the runners have slots for, and asserts that each runs at most once, and
/// not at all if its status says that it has not run.
async fn assert_at_most_once(set: &Deployment, rounds: usize) {
    let faults = Faults { response_delay: Duration::from_millis(10), ..Faults::default() };
    set.runners.iter().for_each(|runner| runner.set_faults(faults));
    for round in 0..rounds {
        let sent = (0..8).map(|at| async move {
            let id = format!("{round}-{at}");
            let path = ["/eggs/a", "/tally/a"][at % 2];
            let spec = RequestSpec { deadline: DEADLINE, ..RequestSpec::new(path, &id) };
            (set.send(at % set.nodes.len(), &spec).await.status, id)
        });
        for (status, id) in join_all(sent).await {
            let runs = set.run_count(&id);
            assert!(runs <= 1, "{id} ran {runs} times: {status:?}");
            let promised = status.is_some_and(|s| [408, 421, 429, 503].contains(&s.as_u16()));
            assert!(!promised || runs == 0, "{id} ran and is answered {status:?}");
        }
    }
}

/// Guards against the start of a repeated rejection that is followed by the response to the next
/// request: the two were read as one head, which says that the next request has not run.
#[tokio::test(flavor = "multi_thread")]
async fn rejection_repeated_in_part_next_request_runs_once() {
    let set = Deployment::new().await.with_plain(2).await.with_engines(0, 2).await;
    let set = set.with_nodes(2).await;
    let spoilers = set.spoil(1, |_| |_: &str| Spoil::RepeatStart(CUT_REJECTION)).await;
    assert_at_most_once(&set, 40).await;
    assert!(spoilers.iter().map(Spoiler::spoilt).sum::<u64>() > 40);
}

/// Guards against the start of a repeated success that is followed by a failure: the failure was
/// forwarded with the status of the success.
#[tokio::test]
async fn success_repeated_in_part_failure_not_forwarded_as_success() {
    let set = Deployment::new().await.with_plain(1).await.with_nodes(1).await;
    let spoilers = set.spoil(1, |_| |_: &str| Spoil::RepeatStart("HTTP/1.1 200 O".len())).await;
    for round in 0..5 {
        set.runners[0].set_faults(Faults::default());
        // Its own call may meet the copy of an earlier response.
        set.send_default("/eggs/a", &format!("good{round}")).await;
        set.runners[0].set_faults(Faults { respond_500: true, ..Faults::default() });
        let reply = set.send_default("/eggs/a", &format!("bad{round}")).await;
        let status = reply.status.map_or(0, |status| status.as_u16());
        assert!([500, 502].contains(&status), "{round}: {status} {}", reply.text());
    }
    assert!(spoilers[0].spoilt() > 0);
}
