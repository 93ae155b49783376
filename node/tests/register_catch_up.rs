//! The register of runners over several nodes: a node that has missed changes gets them from any node
//! that has them.

use sardinepick_lib::fleet::outage::DOUBT;
use sardinepick_lib::history::{Point, Revision};
use sardinepick_lib::id::RunnerId;
use sardinepick_node::serve::register_replica::Difference;
use sardinepick_node::serve::settings::Settings;
use sardinepick_node::serve::shared::Shared;
use sardinepick_node::serve::store_watch::apply_difference;
use sardinepick_platform::store::Object;
use sardinepick_testutils::cluster::{any_address, wait_until};
use sardinepick_testutils::fleet::deployment::Deployment;
use sardinepick_testutils::fleet::killable_node::{
    KillableNode, peer_addresses, ranked_names, start_nodes,
};
use sardinepick_testutils::fleet::proxy::{NetworkFault, Proxy};
use sardinepick_testutils::fleet::runner::Runner;
use sardinepick_testutils::fleet::store::Fault;
use tokio::time::sleep;

fn id(runner: &Runner) -> RunnerId {
    runner.id.parse().expect("an id")
}

fn knows(shared: &Shared, runner: &Runner) -> bool {
    shared.register().get(&id(runner)).is_some()
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
    let names = ranked_names(8);
    let (watching, behind) = names.split_at(7);
    let mut former = start_nodes(&deployment, &watching[..3], &[]).await;
    let seeds = peer_addresses(&former);
    let behind = start_nodes(&deployment, behind, &seeds).await.remove(0);
    wait_known(&former, 3).await;
    wait_known(std::slice::from_ref(&behind), 3).await;

    behind.drop_datagrams(true);
    deployment.store.remove("servers", &removed.id);
    wait_known(&former, 2).await;
    changed.write_entry();
    let started = start_nodes(&deployment, &watching[3..], &seeds).await;
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

/// Guards against a runner that has left and is used for longer the more nodes pass on that its
/// removal is in doubt.
#[tokio::test(flavor = "multi_thread")]
async fn doubt_learned_late_ends_with_that_of_watchers() {
    let deployment = Deployment::new().await.with_plain(2).await;
    let names = ranked_names(4);
    let (watching, behind) = names.split_at(3);
    let watching = start_nodes(&deployment, watching, &[]).await;
    let seeds = peer_addresses(&watching);
    // A node whose own path to the store is down hears of the removal from the others alone.
    let path = Proxy::start(any_address(), deployment.store.address()).await;
    let path = path.expect("a free address");
    path.set(NetworkFault::Reset);
    let settings = deployment.settings(behind[0].as_str(), seeds);
    let settings = Settings { store: path.address, ..settings };
    let behind = KillableNode::start(settings).await.expect("free addresses");
    wait_known(&watching, 2).await;
    wait_known(std::slice::from_ref(&behind), 2).await;

    behind.drop_datagrams(true);
    deployment.store.set_fault(Fault::Reset);
    wait_until("the nodes notice the outage", async || {
        watching.iter().all(|node| node.shared.doubt().is_some())
    })
    .await;
    let lapsed = &deployment.runners[0];
    deployment.store.remove("servers", &lapsed.id);
    deployment.store.set_fault(Fault::None);
    let doubted = |node: &KillableNode| node.shared.register().doubted_until(&id(lapsed));
    wait_until("the watching nodes doubt the removal", async || {
        watching.iter().all(|node| doubted(node).is_some())
    })
    .await;
    let until = watching.iter().filter_map(doubted).max().expect("they doubt it");
    sleep(DOUBT / 2).await;
    behind.drop_datagrams(false);
    wait_until("the node has heard of the removal", async || {
        doubted(&behind).is_some() || !knows(&behind.shared, lapsed)
    })
    .await;
    if let Some(late) = doubted(&behind) {
        assert!(late < until + DOUBT / 4, "doubted {:?} longer", late - until);
    }
    wait_until("all nodes drop it", async || {
        watching.iter().chain([&behind]).all(|node| !knows(&node.shared, lapsed))
    })
    .await;
}

/// Guards against a register that differs from the store's for good because of a fault that nobody
/// knows of: a node holds a runner that the store does not have, at the version of the others.
#[tokio::test(flavor = "multi_thread")]
async fn register_differing_at_one_version_corrected() {
    let deployment = Deployment::new().await.with_plain(2).await;
    let names = ranked_names(5);
    let nodes = start_nodes(&deployment, &names, &[]).await;
    wait_known(&nodes, 2).await;
    wait_until("only the watches of the settled nodes are left", async || {
        let settled = nodes.iter().all(|node| *node.shared.membership_settled.borrow());
        settled && deployment.store.watches("servers") == 3
    })
    .await;
    let registers = || nodes.iter().map(|node| node.shared.status().register);
    wait_until("all nodes have one version", async || {
        registers().all(|version| version == nodes[0].shared.status().register)
    })
    .await;
    let mut entry = deployment.runners[0].entry();
    entry["address"] = serde_json::json!("127.0.0.1:9");
    // One node that watches the store, and one that does not.
    for node in [&nodes[0], &nodes[4]] {
        let version = node.shared.status().register;
        let at = Point { revision: Revision(1), ..version.point() };
        let content = entry.to_string().into();
        let object = Object { name: "i-99".into(), at, content };
        let stray = Difference { entries: vec![object], version, ..Difference::default() };
        apply_difference(&node.shared, &stray, None, "test").expect("it has no digest");
        assert_eq!(node.shared.register().runners().count(), 3);
    }
    // The change has got a version of its own, which the others are given too.
    for node in &nodes[1..4] {
        node.shared.register_replica().advance();
    }
    wait_until("all nodes hold what the store holds", async || {
        nodes.iter().all(|node| {
            let digest = node.shared.register_replica().digest();
            digest == nodes[1].shared.register_replica().digest()
                && node.shared.register().runners().count() == 2
        })
    })
    .await;
}
