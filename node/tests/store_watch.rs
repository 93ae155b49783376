//! Nodes that rely on other nodes to watch the store, while these fail in various ways.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use sardinepick_lib::fleet::runner::Runner;
use sardinepick_lib::id::{ConfigVersion, NodeId};
use sardinepick_node::serve::shared::Shared;
use sardinepick_testutils::cluster::wait_until;
use sardinepick_testutils::fleet::deployment::{Deployment, MAX_SEEDS, configuration};
use sardinepick_testutils::fleet::killable_node::{
    KillableNode, peer_addresses, ranked_names, start_nodes,
};
use sardinepick_testutils::fleet::network::Fault;
use tokio::sync::{Semaphore, SemaphorePermit};
use tokio::time::{Instant, sleep};

/// The time in which a change of the store must be in effect at each node that reaches it.
const BOUND: Duration = Duration::from_secs(2);
const NODES: usize = 6;
/// The number of nodes that watch the store.
const WATCHERS: usize = 3;

/// The number of deployments that run at once: their bounds hold only if there is processor time
/// left.
static DEPLOYMENTS: Semaphore = Semaphore::const_new(2);

async fn permit() -> SemaphorePermit<'static> {
    DEPLOYMENTS.acquire().await.expect("the semaphore is never closed")
}

/// Starts nodes whose names are in the order of their rank as watchers.
async fn start_ranked(set: &Deployment, names: &[NodeId]) -> Vec<KillableNode> {
    let nodes = start_nodes(set, names, &[]).await;
    wait_until("all nodes are ready and know each other", async || {
        nodes.iter().all(|node| {
            node.shared.is_ready() && node.shared.roster().ready_contacts().len() + 1 == names.len()
        })
    })
    .await;
    nodes
}

/// Changes the configuration, lets a runner announce that it leaves, and asserts that a node has
/// both changes in time.
async fn assert_follows(set: &Deployment, node: &Arc<Shared>, version: u64, case: &str) {
    set.runners[0].drain();
    set.store.put("config", "main", &configuration(version));
    let changed = Instant::now();
    let has_version = || {
        let configuration = node.configuration.load();
        configuration.as_ref().is_some_and(|known| known.version == ConfigVersion(version))
    };
    let knows_leaving = || node.register().runners().any(Runner::is_leaving);
    while !(has_version() && knows_leaving()) {
        let (version, leaving) = (has_version(), knows_leaving());
        assert!(changed.elapsed() < BOUND, "{case}: configuration {version}, runner {leaving}");
        sleep(Duration::from_millis(5)).await;
    }
}

/// Guards against a node that takes dead nodes for watchers of the store, since it reports none as
/// silent while it hears none.
#[tokio::test(flavor = "multi_thread")]
async fn all_nodes_killed_but_one_last_follows_store() {
    let _permit = permit().await;
    let set = Deployment::new().await.with_plain(2).await;
    let mut nodes = start_ranked(&set, &ranked_names(NODES)).await;
    let last = nodes.pop().expect("there are nodes");
    nodes.iter_mut().for_each(KillableNode::kill);
    sleep(Duration::from_millis(100)).await;
    assert_follows(&set, &last.shared, 2, "all others were killed").await;
}

/// Guards against a node that never meets those that replace all others at new addresses: the nodes
/// and seeds that it knows are gone, and the new ones do not know it.
#[tokio::test(flavor = "multi_thread")]
async fn all_others_replaced_last_meets_new_nodes() {
    /// The time in which the system must have recovered from the loss of nodes.
    const MEETING: Duration = Duration::from_secs(12);
    let _permit = permit().await;
    let set = Deployment::new().await.with_plain(2).await;
    let names = ranked_names(2 * NODES);
    let (old, new) = names.split_at(NODES);
    let mut nodes = start_ranked(&set, old).await;
    let last = nodes.pop().expect("there are nodes");
    let seeds: Vec<SocketAddr> = peer_addresses(&nodes).into_iter().take(MAX_SEEDS).collect();
    nodes.iter_mut().for_each(KillableNode::kill);
    let lost = Instant::now();
    sleep(Duration::from_secs(1)).await;
    let new = start_nodes(&set, &new[1..], &seeds).await;
    let others = |node: &KillableNode| node.shared.roster().heard(node.shared.clock.now());
    let knows_new = || {
        let roster = last.shared.roster();
        let ready = roster.ready_contacts();
        new.iter().all(|node| ready.iter().any(|contact| contact.id == node.shared.me.id))
    };
    while !(others(&last) >= new.len() && knows_new()) {
        assert!(lost.elapsed() < MEETING, "heard {} nodes", others(&last));
        sleep(Duration::from_millis(20)).await;
    }
}

/// Guards against nodes of which none watches the store, as each ranks behind too many nodes that
/// it takes for present.
#[tokio::test(flavor = "multi_thread")]
async fn most_of_many_nodes_killed_others_follow_store() {
    const MANY: usize = 26;
    let _permit = permit().await;
    let set = Deployment::new().await.with_plain(2).await;
    let mut nodes = start_ranked(&set, &ranked_names(MANY)).await;
    let left = nodes.split_off(MANY - 2);
    nodes.iter_mut().for_each(KillableNode::kill);
    sleep(Duration::from_millis(100)).await;
    for (at, node) in left.iter().enumerate() {
        let version = 2 + at as u64;
        assert_follows(&set, &node.shared, version, node.shared.me.id.as_str()).await;
    }
}

/// Guards against a node that relies on watchers that are up, but whose connections to the store
/// have silently failed.
#[tokio::test(flavor = "multi_thread")]
async fn watchers_cut_from_store_by_hang_other_follows_store() {
    let _permit = permit().await;
    let mut set = Deployment::new().await.with_plain(2).await;
    let names = ranked_names(NODES);
    for name in &names {
        let seeds = set.nodes.iter().map(|node| node.shared.me.peer).take(3).collect();
        set.add_node(name.as_str(), seeds).await;
    }
    set.wait_ready().await;
    // The watches of all watchers begin at the same time.
    set.store.put("config", "main", &configuration(2));
    set.runners[1].write_entry();
    wait_until("only the first nodes watch the store", async || {
        ["config", "servers"].iter().all(|kind| set.store.watches(kind) <= WATCHERS)
    })
    .await;
    set.store.put("config", "main", &configuration(3));
    set.runners[1].write_entry();
    sleep(Duration::from_millis(800)).await;
    let (last, others) = names.split_last().expect("there are nodes");
    for name in others {
        set.network.set(name.as_str(), set.store.address(), Fault::Hang);
    }
    let node = set.nodes.iter().find(|node| node.shared.me.id == *last).expect("it was started");
    let node = node.shared.clone();
    sleep(Duration::from_millis(50)).await;
    assert_follows(&set, &node, 4, "the watchers were cut from the store").await;
}

/// Guards against substitutes that go on watching the store although the elected nodes do.
#[tokio::test(flavor = "multi_thread")]
async fn calm_only_elected_nodes_watch() {
    let _permit = permit().await;
    let set = Deployment::new().await.with_plain(2).await.with_nodes(NODES).await;
    sleep(Duration::from_secs(5)).await;
    let watches = ["config", "servers"].map(|kind| set.store.watches(kind));
    assert!(watches.iter().all(|watches| *watches <= WATCHERS), "{watches:?}");
    let (reads, _) = set.store.call_counts();
    sleep(Duration::from_secs(6)).await;
    let reads = set.store.call_counts().0 - reads;
    assert!(reads <= 2 * 3 * 6, "{reads} reads in 6 s");
}
