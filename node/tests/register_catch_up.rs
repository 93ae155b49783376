//! The register of runners over several nodes: a node that has missed changes gets them from whoever
//! it asks.

use std::net::SocketAddr;

use sardinepick_lib::id::{NodeId, RunnerId};
use sardinepick_lib::rank;
use sardinepick_node::duty::view::SUBJECT;
use sardinepick_node::serve::shared::Shared;
use sardinepick_testutils::cluster::wait_until;
use sardinepick_testutils::fleet::deployment::Deployment;
use sardinepick_testutils::fleet::killable_node::KillableNode;
use sardinepick_testutils::fleet::runner::Runner;

/// Names of nodes, those first that watch the store before the others do.
fn names(count: usize) -> Vec<NodeId> {
    let mut names: Vec<NodeId> =
        (0..count).map(|n| format!("edge-{n}").parse().expect("a name")).collect();
    names.sort_by_key(|name| std::cmp::Reverse(rank::weight(SUBJECT, name)));
    names
}

async fn start(
    deployment: &Deployment,
    names: &[NodeId],
    seeds: &[SocketAddr],
) -> Vec<KillableNode> {
    let mut nodes: Vec<KillableNode> = Vec::new();
    for name in names {
        let started = nodes.iter().map(|node| node.shared.me.peer);
        let seeds = seeds.iter().copied().chain(started).take(3).collect();
        let settings = deployment.settings(name.as_str(), seeds);
        nodes.push(KillableNode::start(settings).await.expect("free addresses"));
    }
    nodes
}

fn knows(shared: &Shared, runner: &Runner) -> bool {
    let id: RunnerId = runner.id.parse().expect("an id");
    shared.register().get(&id).is_some()
}

async fn wait_known(nodes: &[KillableNode], runners: usize) {
    wait_until("all nodes know the runners", async || {
        nodes.iter().all(|node| {
            node.shared.is_ready() && node.shared.register().runners().count() == runners
        })
    })
    .await;
}

/// Guards against a removed runner that stays in use at a node that missed its removal and then asks
/// nodes that have started since.
#[tokio::test(flavor = "multi_thread")]
async fn removal_missed_by_node_learned_from_started_nodes() {
    let deployment = Deployment::new().await.with_plain(3).await;
    let [removed, changed, _] = &deployment.runners[..] else { panic!("three runners") };
    let names = names(8);
    let (watching, behind) = names.split_at(7);
    let mut former = start(&deployment, &watching[..3], &[]).await;
    let seeds: Vec<SocketAddr> = former.iter().map(|node| node.shared.me.peer).collect();
    let behind = start(&deployment, behind, &seeds).await.remove(0);
    wait_known(&former, 3).await;
    wait_known(std::slice::from_ref(&behind), 3).await;

    behind.drop_datagrams(true);
    deployment.store.remove("servers", &removed.id);
    wait_known(&former, 2).await;
    changed.write_entry();
    let started = start(&deployment, &watching[3..], &seeds).await;
    wait_known(&started, 2).await;
    for node in &mut former {
        node.kill();
    }
    assert!(knows(&behind.shared, removed), "it has missed the removal");

    behind.drop_datagrams(false);
    wait_until("the node has caught up", async || {
        let newest = started.iter().map(|node| node.shared.status().register).max();
        Some(behind.shared.status().register) >= newest
    })
    .await;
    assert!(!knows(&behind.shared, removed), "the runner was removed from the store");
    assert!(knows(&behind.shared, changed));
}
