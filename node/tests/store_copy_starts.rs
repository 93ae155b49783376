//! Nodes that start, are cut off or end while the store is restored from a backup.

use sardinepick_lib::history::Era;
use sardinepick_lib::id::{NodeId, RunnerId};
use sardinepick_node::serve::settings::Settings;
use sardinepick_node::serve::shared::Shared;
use sardinepick_testutils::cluster::{any_address, wait_until};
use sardinepick_testutils::fleet::caller::RequestSpec;
use sardinepick_testutils::fleet::deployment::{Deployment, configuration};
use sardinepick_testutils::fleet::killable_node::{
    KillableNode, peer_addresses, ranked_names, start_nodes,
};
use sardinepick_testutils::fleet::proxy::{NetworkFault, Proxy};
use sardinepick_testutils::fleet::runner::Runner;
use sardinepick_testutils::fleet::store::Fault;

/// Requests per node when it is checked that a runner gets none.
const REQUESTS: usize = 12;

async fn start_all(deployment: &Deployment, names: &[NodeId]) -> Vec<KillableNode> {
    let nodes = start_nodes(deployment, names, &[]).await;
    wait_until("all nodes know all runners", async || {
        nodes.iter().all(|node| {
            let known = node.shared.register().runners().count();
            node.shared.is_ready() && known == deployment.runners.len()
        })
    })
    .await;
    nodes
}

fn is_used(shared: &Shared, runner: &Runner) -> bool {
    let id: RunnerId = runner.id.parse().expect("an id");
    let register = shared.register();
    register.get(&id).is_some_and(|runner| !runner.is_leaving())
}

fn is_era_known(node: &KillableNode, era: Era) -> bool {
    node.shared.status().register.era == era
}

/// Checks that a node serves, without the runner that has left.
async fn assert_served_without(deployment: &Deployment, node: &KillableNode, left: &Runner) {
    let before = left.received().len();
    for n in 0..REQUESTS {
        let id = format!("{}-{n}", node.shared.me.id);
        let request = RequestSpec::new("/board/a", &id);
        let reply = deployment.caller.send(node.shared.me.front, &request).await;
        assert!(reply.complete, "{:?}", reply.status);
    }
    assert_eq!(left.received().len(), before, "requests reached the runner that has left");
}

/// The first runner leaves after the backup, with or without announcing it, and the store is restored
/// to before. Nothing that was lost is written again yet.
async fn leave_and_restore(deployment: &Deployment, nodes: &[KillableNode], announces: bool) {
    let left = &deployment.runners[0];
    let backup = deployment.store.backup();
    if announces {
        left.drain();
    } else {
        deployment.store.remove("servers", &left.id);
    }
    wait_until("all nodes know that the runner leaves", async || {
        nodes.iter().all(|node| !is_used(&node.shared, left))
    })
    .await;
    deployment.store.set_fault(Fault::Reset);
    deployment.store.restore(&backup);
    deployment.store.set_fault(Fault::None);
    wait_until("all nodes know the next era", async || {
        nodes.iter().all(|node| is_era_known(node, Era(2)))
    })
    .await;
    assert!(nodes.iter().all(|node| !is_used(&node.shared, left)));
}

async fn check_start_after_restore(announces: bool, watches: bool) {
    let deployment = Deployment::new().await.with_plain(3).await;
    let names = ranked_names(5);
    let (started, former) =
        if watches { (&names[0], &names[1..]) } else { (&names[4], &names[..4]) };
    let nodes = start_all(&deployment, former).await;
    leave_and_restore(&deployment, &nodes, announces).await;
    let seeds = peer_addresses(&nodes);
    let node = start_nodes(&deployment, std::slice::from_ref(started), &seeds).await.remove(0);
    wait_until("the node is ready", async || node.shared.is_ready()).await;
    let left = &deployment.runners[0];
    wait_until("the node has heard that the runner has left", async || {
        !is_used(&node.shared, left)
    })
    .await;
    assert_served_without(&deployment, &node, left).await;
}

/// Guards against a node that starts after a restore and uses a runner that the backup lists and that
/// has left since, as the other nodes know.
#[tokio::test(flavor = "multi_thread")]
async fn removed_runner_in_backup_not_used_by_started_node() {
    check_start_after_restore(false, false).await;
}

/// The same for a node that lists the store itself.
#[tokio::test(flavor = "multi_thread")]
async fn removed_runner_in_backup_not_used_by_started_watcher() {
    check_start_after_restore(false, true).await;
}

/// The same for a runner that has announced that it leaves.
#[tokio::test(flavor = "multi_thread")]
async fn draining_runner_in_backup_not_used_by_started_node() {
    check_start_after_restore(true, true).await;
}

/// Guards against a node that brings the former era back, or misses what happens in the next one: it
/// is cut off from the store and from the other nodes while the store is restored.
#[tokio::test(flavor = "multi_thread")]
async fn node_cut_across_restore_takes_next_era() {
    let deployment = Deployment::new().await.with_plain(3).await;
    let names = ranked_names(5);
    let nodes = start_all(&deployment, &names[..4]).await;
    let path = Proxy::start(any_address(), deployment.store.address()).await;
    let path = path.expect("a free address");
    let settings = deployment.settings(names[4].as_str(), peer_addresses(&nodes));
    let settings = Settings { store: path.address, ..settings };
    let cut = KillableNode::start(settings).await.expect("free addresses");
    wait_until("the node knows all runners", async || {
        cut.shared.is_ready() && cut.shared.register().runners().count() == 3
    })
    .await;

    path.set(NetworkFault::Reset);
    cut.drop_datagrams(true);
    leave_and_restore(&deployment, &nodes, false).await;
    deployment.store.remove("servers", &deployment.runners[0].id);
    deployment.runners[1].drain();
    wait_until("the other nodes know what happened in the next era", async || {
        nodes.iter().all(|node| !is_used(&node.shared, &deployment.runners[1]))
    })
    .await;
    assert!(is_era_known(&cut, Era(1)) && is_used(&cut.shared, &deployment.runners[1]));

    cut.drop_datagrams(false);
    wait_until("the node takes the next era", async || is_era_known(&cut, Era(2))).await;
    wait_until("the node knows who has left", async || {
        deployment.runners[..2].iter().all(|left| !is_used(&cut.shared, left))
    })
    .await;
    assert!(nodes.iter().all(|node| is_era_known(node, Era(2))));
    assert_served_without(&deployment, &cut, &deployment.runners[0]).await;
    assert_served_without(&deployment, &cut, &deployment.runners[1]).await;
}

/// Guards against nodes that do not serve, or do not follow the next era, after all of them have ended
/// while the store is restored: nobody is left who knows more than the backup.
#[tokio::test(flavor = "multi_thread")]
async fn all_nodes_killed_in_restore_serve_and_follow() {
    let deployment = Deployment::new().await.with_plain(3).await;
    let names = ranked_names(4);
    let mut nodes = start_all(&deployment, &names).await;
    let backup = deployment.store.backup();
    deployment.store.put("config", "main", &configuration(2));
    deployment.runners[0].drain();
    wait_until("all nodes know that the runner leaves", async || {
        nodes.iter().all(|node| !is_used(&node.shared, &deployment.runners[0]))
    })
    .await;
    for node in &mut nodes {
        node.kill();
    }
    let lost = deployment.store.restore(&backup);
    let nodes = start_all(&deployment, &names).await;
    assert!(nodes.iter().all(|node| is_era_known(node, Era(2))));
    deployment.store.replay(&lost);
    wait_until("all nodes know what was written again", async || {
        nodes.iter().all(|node| {
            !is_used(&node.shared, &deployment.runners[0]) && node.shared.status().version.0 == 2
        })
    })
    .await;
    for node in &nodes {
        assert_served_without(&deployment, node, &deployment.runners[0]).await;
    }
}
