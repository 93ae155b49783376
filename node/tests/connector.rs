//! Connections to runners, directly and through peers, as requests use them.

use std::time::Duration;

use http::StatusCode;
use sardinepick_lib::fleet::runner::Runner;
use sardinepick_node::serve::metrics::Metrics;
use sardinepick_testutils::cluster::wait_until;
use sardinepick_testutils::fleet::caller::RequestSpec;
use sardinepick_testutils::fleet::deployment::Deployment;
use sardinepick_testutils::fleet::network::Fault;
use tokio::time::{Instant, sleep};

/// The node that is cut.
const CUT: usize = 1;
/// How soon after the end of a cut a node must use direct connections only.
const MAX_RETURN: Duration = Duration::from_millis(1_500);

async fn deployment() -> Deployment {
    Deployment::new().await.with_plain(3).await.with_nodes(3).await
}

fn metrics(set: &Deployment, node: usize) -> &Metrics {
    &set.nodes[node].shared.metrics
}

/// The number of connections that a node has opened through peers.
fn relays_opened(set: &Deployment, node: usize) -> u64 {
    metrics(set, node).relays_opened.with_label_values(&["client", "opened"]).get()
}

/// Sends requests to a node one after the other, and returns the mean time of those that are served.
async fn send_many(set: &Deployment, node: usize, prefix: &str, count: u32) -> Duration {
    let began = Instant::now();
    for n in 0..count {
        let id = format!("{prefix}-{n}");
        let reply = set.send(node, &RequestSpec::new("/board/a", &id)).await;
        assert_eq!(reply.status, Some(StatusCode::OK), "{id}");
    }
    began.elapsed() / count
}

/// Cuts a node from all runners, and waits until it uses a peer.
async fn cut(set: &Deployment, fault: Fault) {
    set.set_network_fault(&[CUT], &set.runners, fault);
    wait_until("a path is closed", async || {
        set.send(CUT, &RequestSpec::new("/board/a", "cut")).await;
        metrics(set, CUT).closed_paths.get() > 0
    })
    .await;
}

#[tokio::test]
async fn calm_node_asks_no_peer() {
    let set = deployment().await;
    for node in 0..set.nodes.len() {
        send_many(&set, node, &format!("calm-{node}"), 20).await;
    }
    let opened: u64 = (0..set.nodes.len()).map(|node| relays_opened(&set, node)).sum();
    assert_eq!(opened, 0);
}

/// Guards against a node that goes on to use its peers when it reaches the runners again.
#[tokio::test]
async fn healed_paths_used_directly() {
    let set = deployment().await;
    let direct = send_many(&set, CUT, "direct", 50).await;
    cut(&set, Fault::Hang).await;
    let relayed = send_many(&set, CUT, "relayed", 50).await;
    println!("mean time of a request: {direct:?} directly, {relayed:?} through a peer");
    assert!(metrics(&set, CUT).relayed_connections.get() > 0);
    set.network.heal();
    let healed = Instant::now();
    wait_until("all paths are open", async || metrics(&set, CUT).closed_paths.get() == 0).await;
    send_many(&set, CUT, "healed", 10).await;
    let opened = relays_opened(&set, CUT);
    wait_until("no connection is relayed", async || {
        metrics(&set, CUT).relayed_connections.get() == 0
    })
    .await;
    let took = healed.elapsed();
    assert!(took < MAX_RETURN, "direct again after {took:?}");
    send_many(&set, CUT, "after", 20).await;
    assert_eq!(relays_opened(&set, CUT), opened, "a peer was asked after the cut");
}

/// Guards against a runner that is taken for cut off, and keeps its share of the requests, although
/// its process has ended.
#[tokio::test]
async fn ended_runner_closes_no_path() {
    let set = deployment().await;
    set.runners[0].kill();
    send_many(&set, CUT, "r", 30).await;
    assert_eq!(metrics(&set, CUT).closed_paths.get(), 0);
    assert_eq!(relays_opened(&set, CUT), 0);
}

/// Guards against requests at a cut node that fail when the peer that forwards them ends.
#[tokio::test]
async fn leaving_peer_replaced() {
    let mut set = deployment().await;
    cut(&set, Fault::Refuse).await;
    let leaving = set.nodes.remove(0);
    let stopping = tokio::spawn(leaving.stop());
    send_many(&set, CUT - 1, "r", 50).await;
    assert_eq!(stopping.await.expect("no panic"), 0, "requests were cut");
}

/// Guards against runners that a cut node takes for unhealthy because it does not reach them.
#[tokio::test]
async fn cut_does_not_count_against_runners() {
    let set = deployment().await;
    cut(&set, Fault::Reset).await;
    send_many(&set, CUT, "relayed", 30).await;
    sleep(Duration::from_millis(500)).await;
    let now = std::time::Instant::now();
    let register = set.nodes[CUT].shared.register();
    assert!(register.runners().all(|runner| runner.takes_work(now)));
}

/// Guards against requests that are answered as if they might have run, although no connection was
/// established.
#[tokio::test]
async fn request_without_connection_not_run() {
    let set = Deployment::new().await.with_plain(2).await.with_nodes(1).await;
    set.set_network_fault(&[0], &set.runners, Fault::Hang);
    let ids: Vec<String> = (0..20).map(|n| format!("r{n}")).collect();
    let sent = ids.iter().map(|id| async {
        let spec = RequestSpec::new("/board/a", id);
        set.send(0, &spec).await.status
    });
    let statuses = futures_util::future::join_all(sent).await;
    assert!(
        statuses.iter().all(|status| *status == Some(StatusCode::SERVICE_UNAVAILABLE)),
        "{statuses:?}"
    );
}

/// Guards against a request to a runner that has left while the connection was established.
#[tokio::test]
async fn request_not_sent_to_runner_that_left_during_connect() {
    let set = Deployment::new().await.with_plain(1).await.with_nodes(1).await;
    set.set_network_fault(&[0], &set.runners, Fault::Hang);
    let spec = RequestSpec::new("/board/a", "r1");
    let leave = async {
        let undelivered = &metrics(&set, 0).undelivered_reservations;
        wait_until("a connect is in progress", async || undelivered.get() > 0).await;
        set.runners[0].drain();
        wait_until("the runner leaves", async || {
            set.nodes[0].shared.register().runners().all(Runner::is_leaving)
        })
        .await;
        set.network.heal();
    };
    let (reply, ()) = tokio::join!(set.send(0, &spec), leave);
    assert_eq!(reply.status, Some(StatusCode::SERVICE_UNAVAILABLE));
    assert_eq!(set.run_count("r1"), 0);
}
