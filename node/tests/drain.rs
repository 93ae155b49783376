//! Runners that announce a drain in their responses while the store is unavailable.

use std::time::Duration;

use http::StatusCode;
use sardinepick_lib::fleet::runner::Runner;
use sardinepick_lib::id::RunnerId;
use sardinepick_node::dispatch::Target;
use sardinepick_node::serve::delivery::Delivery;
use sardinepick_testutils::cluster::{any_address, wait_until};
use sardinepick_testutils::fleet::caller::{Caller, Reply, RequestSpec};
use sardinepick_testutils::fleet::deployment::Deployment;
use sardinepick_testutils::fleet::runner::Faults;
use sardinepick_testutils::fleet::signal::Signals;
use sardinepick_testutils::fleet::store::Fault;
use tokio::time::sleep;

const GENERATION: [(&str, &str); 3] =
    [("model", "m"), ("token-count", "1460,80"), ("prompt-prefix", "5c1e:800,91bd:410,e440:250")];

fn generation(id: &str) -> RequestSpec<'_> {
    RequestSpec { headers: &GENERATION, ..RequestSpec::new("/count/a", id) }
}

/// Sends requests to a node until a response announces that the runner is leaving. Returns how many
/// requests that runner has received.
async fn send_until_drain_announced(
    set: &Deployment,
    ask: impl Fn(&str) -> RequestSpec<'_>,
    leaving: usize,
) -> usize {
    set.store.set_fault(Fault::Silent);
    set.runners[leaving].set_signals(Signals::leaving());
    for n in 0..200 {
        let id = format!("h{n}");
        let response = set.send(0, &ask(&id)).await;
        assert_eq!(response.status, Some(StatusCode::OK), "{id}");
        if response.header("server-leaving").is_some() {
            return set.runners[leaving].received().len();
        }
    }
    panic!("the leaving runner was never used");
}

/// Makes the engine that currently runs generations announce a drain, until a response carries it.
/// Returns the engine's index.
async fn drain_decode_runner(set: &Deployment) -> usize {
    for n in 0..200 {
        let id = format!("h{n}");
        let response = set.send(0, &generation(&id)).await;
        assert!(is_complete(&response));
        let at = (1..set.runners.len()).find(|at| set.runners[*at].run_count(&id) == 1);
        let at = at.expect("an engine ran the request");
        if response.header("server-leaving").is_some() {
            return at;
        }
        for runner in &set.runners {
            runner.set_signals(Signals::none());
        }
        set.runners[at].set_signals(Signals::leaving());
    }
    panic!("the leaving runner was never used");
}

fn is_complete(response: &Reply) -> bool {
    response.status == Some(StatusCode::OK) && response.complete
}

/// Guards against plain requests to a runner that has announced a drain in a response.
#[tokio::test]
async fn draining_plain_runner_gets_no_requests() {
    let set = Deployment::new().await.with_plain(2).await.with_nodes(1).await;
    let response_delay = Duration::from_millis(20);
    set.runners[1].set_faults(Faults { response_delay, ..Faults::default() });
    let before = send_until_drain_announced(&set, |id| RequestSpec::new("/board/a", id), 0).await;
    for n in 0..30 {
        assert!(is_complete(&set.send_default("/board/a", &format!("r{n}")).await));
    }
    assert_eq!(set.runners[0].received().len(), before);
}

/// Guards against whole runs and decode stages at an engine that has announced a drain in a
/// response.
#[tokio::test]
async fn draining_decode_runner_gets_no_runs() {
    let set = Deployment::new().await.with_engines(1, 2).await.with_nodes(1).await;
    let before = send_until_drain_announced(&set, generation, 1).await;
    for n in 0..30 {
        assert!(is_complete(&set.send(0, &generation(&format!("r{n}"))).await));
    }
    assert_eq!(set.runners[1].received().len(), before);
}

/// Guards against a decode stage at an engine that announces a drain during prefill.
#[tokio::test]
async fn decode_runner_drains_during_prefill_other_runner_used() {
    let set = Deployment::new().await.with_engines(1, 2).await.with_nodes(1).await;
    let response_delay = Duration::from_millis(400);
    set.runners[0].set_faults(Faults { response_delay, ..Faults::default() });
    set.store.set_fault(Fault::Silent);
    let tasks: Vec<_> = (0..12)
        .map(|n| {
            let front = set.front(0);
            tokio::spawn(async move {
                let id = format!("r{n}");
                Caller::default().send(front, &generation(&id)).await
            })
        })
        .collect();
    sleep(response_delay / 2).await;
    // From now on prefill is immediate.
    set.runners[0].set_faults(Faults::default());
    let leaving = drain_decode_runner(&set).await;
    let before = set.runners[leaving].received().len();
    for task in tasks {
        assert!(is_complete(&task.await.expect("the task does not panic")));
    }
    assert_eq!(set.runners[leaving].received().len(), before);
}

/// Guards against prefill requests to an engine that has announced a drain in a response.
#[tokio::test]
async fn draining_prefill_runner_gets_no_prompts() {
    let set = Deployment::new().await.with_engines(2, 1).await.with_nodes(1).await;
    set.store.set_fault(Fault::Silent);
    let used = async || {
        for n in 0..10 {
            assert!(is_complete(&set.send(0, &generation(&format!("u{n}"))).await));
        }
        [0, 1].map(|at: usize| set.runners[at].received().len())
    };
    let [first, _] = used().await;
    let leaving = usize::from(first == 0);
    set.runners[leaving].set_signals(Signals::leaving());
    let before = used().await[leaving];
    let after = used().await[leaving];
    assert_eq!(after, before);
}

/// Guards against requests of other nodes to a runner that has announced its drain to one node.
#[tokio::test]
async fn drain_in_response_known_to_all_nodes() {
    let mut set = Deployment::new().await.with_plain(2).await.with_nodes(3).await;
    let response_delay = Duration::from_millis(20);
    set.runners[1].set_faults(Faults { response_delay, ..Faults::default() });
    let before = send_until_drain_announced(&set, |id| RequestSpec::new("/board/a", id), 0).await;
    sleep(Duration::from_millis(200)).await;
    let seeds = set.nodes.iter().map(|node| node.shared.me.peer).collect();
    set.add_node("edge-late", seeds).await;
    set.wait_ready().await;
    for n in 0..40 {
        assert!(is_complete(
            &set.send(n % 4, &RequestSpec::new("/board/a", &format!("r{n}"))).await
        ));
    }
    assert_eq!(set.runners[0].received().len(), before);
}

/// Guards against requests that wait, or reach the leaving runner, if it is the only one.
#[tokio::test]
async fn only_runner_draining_requests_refused_immediately() {
    let set = Deployment::new().await.with_plain(1).await.with_nodes(1).await;
    let before = send_until_drain_announced(&set, |id| RequestSpec::new("/board/a", id), 0).await;
    for n in 0..5 {
        let response = set.send_default("/board/a", &format!("r{n}")).await;
        assert_eq!(response.status, Some(StatusCode::SERVICE_UNAVAILABLE));
        assert!(response.header("retry-after").is_some());
        assert!(response.elapsed < Duration::from_secs(1));
    }
    assert_eq!(set.runners[0].received().len(), before);
}

/// Guards against a restarted runner that is not used because its previous process was leaving.
#[tokio::test]
async fn restarted_runner_is_used_after_drain() {
    let mut set = Deployment::new().await.with_plain(1).await.with_nodes(1).await;
    send_until_drain_announced(&set, |id| RequestSpec::new("/board/a", id), 0).await;
    set.store.set_fault(Fault::None);
    set.runners[0] = set.runners[0].restart(any_address()).await.expect("free address");
    wait_until("the new process is used", async || {
        is_complete(&set.send_default("/board/a", "r").await)
    })
    .await;
}

/// Guards against requests that wait, for a permit or for their prompt to be read, while the runner
/// that was chosen for them leaves.
#[tokio::test]
async fn runner_gone_since_choice_gets_no_request() {
    let set = Deployment::new().await.with_plain(2).await.with_nodes(1).await;
    let shared = &set.nodes[0].shared;
    for (at, leave) in [(0, true), (1, false)] {
        let runner = &set.runners[at];
        let id: RunnerId = runner.id.parse().expect("an id");
        let chosen = shared.register().get(&id).expect("known").registration();
        if leave {
            runner.drain();
        } else {
            set.store.remove("servers", &runner.id);
        }
        wait_until("the node knows that the runner leaves", async || {
            shared.register().get(&id).is_none_or(Runner::is_leaving)
        })
        .await;
        let address = runner.address();
        let delivery = Delivery::new(&shared.metrics.undelivered_reservations);
        let registration = Some(&chosen);
        let target = Target { runner: &id, registration, address, delivery: &delivery };
        let request = http::Request::new(bytes::Bytes::new());
        let sent = shared.dispatcher.send(target, "r1", request).await;
        let error = sent.err().expect("it is not sent");
        assert!(error.proves_unsent() && error.is_local(), "{error}");
        assert!(runner.received().is_empty());
    }
}
