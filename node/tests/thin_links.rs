//! Distribution of large configurations and registers over links of low bandwidth.

use sardinepick_lib::fleet::runner::State;
use sardinepick_lib::id::ConfigVersion;
use sardinepick_node::serve::compression::compress;
use sardinepick_node::serve::run::Running;
use sardinepick_testutils::cluster::wait_until;
use sardinepick_testutils::fleet::deployment::{
    DEFAULT_DATA_CENTRE, Deployment, PLAIN_SERVICE, large_configuration,
};
use sardinepick_testutils::fleet::link::Link;
use sardinepick_testutils::fleet::store::Fault;
use serde_json::json;

/// The rate of a link of 10 Mbit/s, in bytes per second.
const LINK_RATE: f64 = 1.25e6;
const NODES: usize = 40;
/// The number of nodes that watch the store.
const WATCHERS: usize = 3;
/// The number of routes that are added at once.
const ADDED_ROUTES: usize = 1_400;

/// Adds nodes behind links of `rate` bytes per second, and waits until only a few of them watch the
/// store.
async fn add_nodes(mut deployment: Deployment, rate: f64) -> (Deployment, Vec<Link>) {
    let mut links = Vec::with_capacity(NODES);
    for at in 0..NODES {
        links.push(deployment.add_node_with_peer_link(&format!("edge-{at}"), rate).await);
    }
    deployment.wait_ready().await;
    for kind in ["config", "servers"] {
        wait_until("only a few nodes watch the store", async || {
            deployment.store.watches(kind) <= WATCHERS
        })
        .await;
    }
    (deployment, links)
}

/// Guards against all nodes fetching a large configuration from the same few peers at once. After an
/// operator had added 1,400 routes, nodes still handled requests by the previous version 3.7 s after
/// the new one had been acknowledged. All nodes that do not watch the store had requested the
/// configuration from one of the three that do, at the same time. Each transfer had a time-out of one
/// second, and 28 transfers shared the link of each of the three, so none completed. The partial
/// transfers were discarded and started again, at the same peer. The sending nodes sent 2.7 to 3.3 MB
/// in the first second, none of which was used.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn large_configuration_sent_once_to_each_node() {
    let (deployment, links) = add_nodes(Deployment::new().await, LINK_RATE).await;
    let carried = || links.iter().map(Link::bytes_sent).sum::<u64>();
    let before = carried();
    let next = large_configuration(2, ADDED_ROUTES);
    deployment.store.put("config", "main", &next);
    wait_until("all nodes have the configuration in force", async || {
        deployment.nodes.iter().all(|node| node.shared.status().version == ConfigVersion(2))
    })
    .await;
    let sent_bytes = carried() - before;
    let copy_bytes = compress(next.to_string().as_bytes()).len() as u64;
    let max_bytes = copy_bytes * NODES as u64;
    assert!(
        sent_bytes <= max_bytes,
        "{sent_bytes} bytes were sent between nodes, more than one copy to each ({max_bytes})"
    );
    let most = links.iter().map(Link::bytes_sent).max().unwrap_or_default();
    println!(
        "{sent_bytes} bytes between nodes, at most {most} by one node; {max_bytes} for a copy to each"
    );
}

/// Guards against register changes that are delayed by a large configuration. A node sent a request to
/// a runner 3.2 s after the runner had begun to drain, and knew of the draining after 4.4 s. Changes of
/// the register were in the same response as the configuration, behind hundreds of kilobytes of it, and
/// were discarded with it when the response timed out.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn register_change_overtakes_large_configuration() {
    /// In bytes per second. A copy takes three seconds, so a change that waits behind it is noticed.
    const SLOW_LINK_RATE: f64 = 1e5;
    let deployment = Deployment::new().await.with_plain(2).await;
    let (deployment, _links) = add_nodes(deployment, SLOW_LINK_RATE).await;
    deployment.store.put("config", "main", &large_configuration(2, ADDED_ROUTES));
    wait_until("copies are in progress", async || {
        let is_current = |node: &Running| node.shared.status().version == ConfigVersion(2);
        deployment.nodes.iter().filter(|node| is_current(node)).count() >= WATCHERS
    })
    .await;
    let runner = &deployment.runners[0];
    runner.drain();
    let knows_draining = |node: &Running| {
        let register = node.shared.register();
        let known = register.runners().find(|r| r.entry.id.as_str() == runner.id);
        known.is_none_or(|r| r.entry.state == State::Draining)
    };
    wait_until("all nodes know that the runner drains", async || {
        deployment.nodes.iter().all(knows_draining)
    })
    .await;
    let is_behind = |node: &&Running| node.shared.status().version < ConfigVersion(2);
    let behind = deployment.nodes.iter().filter(is_behind).count();
    assert!(behind > 0, "all copies of the configuration arrived before the register change");
}

/// Guards against a node that starts behind a slow link, never receives a configuration of a megabyte,
/// and refuses all callers. A call to the store had a time-out of 0.7 s for the whole response, but a
/// megabyte takes 0.84 s on a link of 10 Mbit/s; the partial response was discarded and requested again.
/// With a configuration of 4,249 routes, nodes behind such links received 57 and 65 MB in two seconds,
/// while the other nodes had sent 9 and 50 MB.
#[tokio::test]
async fn megabyte_configuration_received_over_slow_link() {
    /// The number of routes in a configuration of a megabyte.
    const ROUTES: usize = 4_000;
    let mut deployment = Deployment::new().await;
    deployment.store.put("config", "main", &large_configuration(2, ROUTES));
    deployment.add_node_with_store_link("edge-0", LINK_RATE).await;
    deployment.wait_ready().await;
}

/// Guards against nodes that start during a store outage, never receive the whole register, and refuse
/// all callers until the store is back. They learn the runners from the few nodes that know them. The
/// response had a time-out of one second, too short for the entries of 1,600 runners when many nodes
/// request them at once over a slow link.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn whole_register_received_over_slow_link() {
    /// The largest number of runners that a node must support.
    const RUNNERS: usize = 1_600;
    /// The number of nodes that start during the outage.
    const STARTING_NODES: usize = 12;
    let mut deployment = Deployment::new().await;
    for at in 0..RUNNERS {
        let address = format!("10.1.{}.{}:8482", at >> 8, at & 255);
        let entry = json!({
            "service": PLAIN_SERVICE, "address": address, "zone": DEFAULT_DATA_CENTRE, "version": "v1", "slots": 8,
            "state": "ready", "coldRemainingMs": 0, "models": [], "seq": 1, "born": 1,
        });
        deployment.store.put("servers", &format!("i-{at}"), &entry);
    }
    deployment.add_node_with_peer_link("edge-0", LINK_RATE).await;
    let wait_ready = async |deployment: &Deployment| {
        wait_until("all nodes are ready", async || {
            deployment.nodes.iter().all(|n| n.shared.is_ready())
        })
        .await;
    };
    wait_ready(&deployment).await;
    deployment.store.set_fault(Fault::Busy);
    for at in 1..=STARTING_NODES {
        deployment.add_node_with_peer_link(&format!("edge-{at}"), LINK_RATE).await;
    }
    wait_ready(&deployment).await;
    let known = deployment.nodes.iter().map(|node| node.shared.register().runners().count());
    assert_eq!(known.min(), Some(RUNNERS));
}
