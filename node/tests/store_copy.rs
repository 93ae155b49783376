//! Serving while the store is restored from a backup: its revisions go back and are reused.

use std::time::{Duration, Instant};

use http::StatusCode;
use sardinepick_lib::fleet;
use sardinepick_lib::fleet::outage::DOUBT;
use sardinepick_lib::id::RunnerId;
use sardinepick_testutils::cluster::wait_until;
use sardinepick_testutils::fleet::caller::RequestSpec;
use sardinepick_testutils::fleet::deployment::{Deployment, configuration, with_accounts};
use sardinepick_testutils::fleet::runner::Runner;
use sardinepick_testutils::fleet::store::Fault;
use tokio::time::sleep;

/// More nodes than watch the store, so that some learn its changes from peers only.
const NODES: usize = 6;
/// How often a runner writes its entry after the backup was taken.
const ENTRY_WRITES: usize = 10;

fn id(runner: &Runner) -> RunnerId {
    runner.id.parse().expect("an id")
}

/// Waits until all nodes know the last change of the store, which must be the entry of `writer`.
async fn wait_entry_known(deployment: &Deployment, writer: &Runner) {
    let written = deployment.store.revision();
    wait_until("all nodes know the written entry", async || {
        deployment.nodes.iter().all(|node| {
            let register = node.shared.register();
            let runner = register.get(&id(writer)).expect("a known runner");
            runner.entry.at.revision.0 == written
        })
    })
    .await;
}

/// A deployment whose store was restored from a backup. After the backup the runner at index `writer`
/// wrote its entry several times, and all nodes knew the last of these entries.
async fn restored_deployment(writer: usize) -> Deployment {
    restored_deployment_with_era(writer, None).await
}

/// Like [`restored_deployment`], with a store that reports `era` in place of its era.
async fn restored_deployment_with_era(writer: usize, era: Option<&[&str]>) -> Deployment {
    let deployment = Deployment::new().await;
    if let Some(era) = era {
        deployment.store.override_era(era);
    }
    let deployment = deployment.with_plain(3).await.with_nodes(NODES).await;
    let backup = deployment.store.backup();
    for _ in 0..ENTRY_WRITES {
        deployment.runners[writer].write_entry();
    }
    wait_entry_known(&deployment, &deployment.runners[writer]).await;
    deployment.store.set_fault(Fault::Reset);
    let lost = deployment.store.restore(&backup);
    deployment.store.set_fault(Fault::None);
    deployment.store.replay(&lost);
    deployment
}

async fn assert_draining_known(deployment: &Deployment, runner: &Runner) {
    runner.drain();
    wait_until("all nodes know that the runner drains", async || {
        deployment.nodes.iter().all(|node| {
            let register = node.shared.register();
            register.get(&id(runner)).is_none_or(fleet::runner::Runner::is_leaving)
        })
    })
    .await;
    let before = runner.received().len();
    for n in 0..NODES * 4 {
        deployment.send(n % NODES, &RequestSpec::new("/board/a", &format!("r{n}"))).await;
    }
    assert_eq!(runner.received().len(), before);
}

/// Guards against nodes that miss changes after a restore because the store reports no era.
#[tokio::test]
async fn draining_after_restore_without_era_known_to_all() {
    let deployment = restored_deployment_with_era(0, Some(&[])).await;
    assert_draining_known(&deployment, &deployment.runners[0]).await;
}

/// Guards against nodes that do not watch the store themselves and are not notified that a runner
/// drains.
#[tokio::test]
async fn draining_at_earlier_revision_known_to_all() {
    let deployment = restored_deployment(1).await;
    assert_draining_known(&deployment, &deployment.runners[0]).await;
}

/// Guards against an entry of a draining runner that is ignored as older than the entries which the
/// runner wrote after the backup.
#[tokio::test]
async fn draining_not_older_than_lost_entries() {
    let deployment = restored_deployment(0).await;
    assert_draining_known(&deployment, &deployment.runners[0]).await;
}

/// Guards against a change that is never noticed. By the time a watch continues, the restored store has
/// passed the revision from which it does, so the store does not answer that the revision is unknown.
#[tokio::test]
async fn change_at_reused_revision_noticed() {
    let deployment = Deployment::new().await.with_plain(3).await.with_nodes(NODES).await;
    let backup = deployment.store.backup();
    deployment.runners[1].write_entry();
    wait_entry_known(&deployment, &deployment.runners[1]).await;
    deployment.store.set_fault(Fault::Reset);
    let lost = deployment.store.restore(&backup);
    // The draining entry gets a reused revision, and later ones follow at once.
    deployment.runners[0].drain();
    deployment.store.replay(&lost);
    for _ in 0..ENTRY_WRITES {
        deployment.runners[2].write_entry();
    }
    deployment.store.set_fault(Fault::None);
    assert_draining_known(&deployment, &deployment.runners[0]).await;
}

/// Guards against a node that stops watching a store whose responses contain no valid era.
#[tokio::test]
async fn store_with_invalid_era_watched() {
    let deployment = Deployment::new().await.with_plain(2).await.with_nodes(2).await;
    let eras: [&[&str]; 6] =
        [&[], &["x"], &["1", "2"], &["99999999999999999999"], &["-1"], &["4096"]];
    for (at, values) in eras.into_iter().enumerate() {
        deployment.store.override_era(values);
        let version = 10 + at as u64;
        deployment.store.put("config", "main", &configuration(version));
        wait_until("the configuration is in force", async || {
            deployment.nodes.iter().all(|node| node.shared.status().version.0 == version)
        })
        .await;
    }
    deployment.store.clear_era_override();
    assert!(deployment.nodes.iter().all(|node| node.shared.era_tracker.era().0 == 1));
}

/// Guards against responses of an earlier era that are accepted, and against a node that refuses all
/// requests while it gets no other responses.
#[tokio::test]
async fn responses_of_earlier_era_ignored() {
    let deployment = Deployment::new().await.with_plain(2).await.with_nodes(2).await;
    deployment.store.override_era(&["0"]);
    deployment.store.put("config", "main", &configuration(20));
    let earlier = deployment.nodes[0].shared.metrics.store_eras.with_label_values(&["former"]);
    wait_until("a response is ignored", async || earlier.get() > 0).await;
    assert_eq!(deployment.send_default("/board/a", "r1").await.status, Some(StatusCode::OK));
    assert_eq!(deployment.nodes[0].shared.status().version.0, 1);
    deployment.store.clear_era_override();
    wait_until("the configuration is in force", async || {
        deployment.nodes.iter().all(|node| node.shared.status().version.0 == 20)
    })
    .await;
}

async fn send_with_key(deployment: &Deployment, id: &str, key: &str) -> Option<StatusCode> {
    deployment
        .send(
            0,
            &RequestSpec { headers: &[("credential", key)], ..RequestSpec::new("/board/a", id) },
        )
        .await
        .status
}

async fn wait_in_force(deployment: &Deployment, version: u64) {
    wait_until("the configuration is in force", async || {
        deployment.nodes.iter().all(|node| node.shared.status().version.0 == version)
    })
    .await;
}

/// Guards against a valid key that is refused because the restored store shows an earlier
/// configuration as the newest, and against a revoked key that is valid again.
#[tokio::test]
async fn unknown_key_unconfirmed_after_restore() {
    let deployment = Deployment::new().await.with_plain(2).await.with_nodes(2).await;
    deployment.store.put(
        "config",
        "main",
        &with_accounts(2, &[("kitchen", &["key-1", "key-2"], None)]),
    );
    wait_in_force(&deployment, 2).await;
    let backup = deployment.store.backup();
    deployment.store.put("config", "main", &with_accounts(3, &[("kitchen", &["key-1"], None)]));
    wait_in_force(&deployment, 3).await;
    deployment.store.restore(&backup);
    let eras = || deployment.nodes.iter().map(|node| node.shared.era_tracker.era().0);
    wait_until("all nodes know the era", async || eras().all(|era| era == 2)).await;
    assert_eq!(send_with_key(&deployment, "r1", "key-1").await, Some(StatusCode::OK));
    assert_eq!(send_with_key(&deployment, "r2", "key-2").await, Some(StatusCode::UNAUTHORIZED));
    // A later configuration that the backup lacks may contain the key.
    assert_eq!(
        send_with_key(&deployment, "r3", "key-3").await,
        Some(StatusCode::SERVICE_UNAVAILABLE)
    );
    let accounts = [("kitchen", &["key-1", "key-3"][..], None)];
    deployment.store.put("config", "main", &with_accounts(4, &accounts));
    wait_in_force(&deployment, 4).await;
    assert_eq!(send_with_key(&deployment, "r4", "key-3").await, Some(StatusCode::OK));
    assert_eq!(send_with_key(&deployment, "r5", "key-4").await, Some(StatusCode::UNAUTHORIZED));
}

/// Guards against entries of nodes and of quarantined requests that remain missing after the store is
/// restored from a backup without them.
#[tokio::test]
async fn nodes_rewrite_own_objects_after_restore() {
    let mut deployment = Deployment::new().await.with_plain(2).await;
    let backup = deployment.store.backup();
    deployment = deployment.with_nodes(NODES).await;
    wait_until("nodes have written their entries", async || {
        deployment.store.count("sardinepick-nodes") >= 3
    })
    .await;
    let before = deployment.store.call_counts().0;
    let lost = deployment.store.restore(&backup);
    deployment.store.replay(&lost);
    wait_until("the entries are back", async || deployment.store.count("sardinepick-nodes") >= 3)
        .await;
    // Two lists, two watches and one entry per node that watches the store, with room for one round
    // of retries.
    assert!(
        deployment.store.call_counts().0 - before <= 60,
        "{} calls",
        deployment.store.call_counts().0 - before
    );
}

/// Counts the calls to the store during `span`, after a restore if `restore` is set. Returns also the
/// time until all nodes had the register of the new era.
async fn count_calls(deployment: &Deployment, span: Duration, restore: bool) -> (u64, Duration) {
    let before = deployment.store.call_counts().0;
    let start = Instant::now();
    if restore {
        let backup = deployment.store.backup();
        deployment.runners[0].write_entry();
        wait_entry_known(deployment, &deployment.runners[0]).await;
        let lost = deployment.store.restore(&backup);
        deployment.store.replay(&lost);
        let era = deployment.store.era();
        wait_until("all nodes have the register of the new era", async || {
            let known = deployment.nodes.iter().map(|node| node.shared.status().register.era.0);
            known.map(u64::from).all(|known| known == era)
        })
        .await;
    }
    let recovery = start.elapsed();
    sleep(span.saturating_sub(recovery)).await;
    (deployment.store.call_counts().0 - before, recovery)
}

/// Guards against all nodes calling the store when it has been restored, instead of the few that
/// watch it.
#[tokio::test(flavor = "multi_thread")]
async fn calls_after_restore_independent_of_node_count() {
    let span = Duration::from_secs(4);
    for nodes in [6, 20] {
        let deployment = Deployment::new().await.with_plain(3).await.with_nodes(nodes).await;
        sleep(span).await;
        let (idle, _) = count_calls(&deployment, span, false).await;
        let (after, recovery) = count_calls(&deployment, span, true).await;
        println!(
            "{nodes} nodes: {idle} calls in {span:?}, {after} after a restore; recovery {recovery:?}"
        );
        assert!(after <= idle + 60, "{nodes} nodes: {after} calls after a restore, {idle} before");
    }
}

/// Guards against a node that stays in the era of the first of two restores in quick succession, or
/// that ignores the second.
#[tokio::test]
async fn draining_known_after_repeated_restores() {
    let deployment = restored_deployment(0).await;
    let backup = deployment.store.backup();
    for _ in 0..ENTRY_WRITES {
        deployment.runners[1].write_entry();
    }
    let lost = deployment.store.restore(&backup);
    let lost_again = deployment.store.restore(&deployment.store.backup());
    deployment.store.replay(&lost);
    deployment.store.replay(&lost_again);
    assert_draining_known(&deployment, &deployment.runners[0]).await;
    let era = deployment.store.era();
    assert_eq!(era, 4);
    wait_until("all nodes know the era", async || {
        deployment.nodes.iter().all(|node| u64::from(node.shared.era_tracker.era().0) == era)
    })
    .await;
}

/// Guards against requests that are refused or delayed while the restored store lacks the entries of
/// running runners.
#[tokio::test]
async fn runners_missing_from_backup_still_used() {
    let mut deployment = Deployment::new().await;
    let backup = deployment.store.backup();
    deployment = deployment.with_plain(3).await.with_nodes(3).await;
    let lost = deployment.store.restore(&backup);
    let eras = || deployment.nodes.iter().map(|node| node.shared.era_tracker.era().0);
    wait_until("all nodes know the era", async || eras().all(|era| era == 2)).await;
    for n in 0..30 {
        let response =
            deployment.send(n % 3, &RequestSpec::new("/board/a", &format!("r{n}"))).await;
        assert_eq!(response.status, Some(StatusCode::OK), "r{n}");
    }
    deployment.store.replay_shuffled(&lost, 7, Duration::from_millis(500)).await;
    sleep(DOUBT + Duration::from_millis(500)).await;
    for node in &deployment.nodes {
        assert_eq!(node.shared.register().runners().count(), 3);
    }
}
