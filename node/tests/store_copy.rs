//! A store that comes back from a copy: revisions go back and are given out again.

use std::time::{Duration, Instant};

use http::StatusCode;
use sardinepick_lib::fleet;
use sardinepick_lib::fleet::outage::DOUBT;
use sardinepick_lib::id::RunnerId;
use sardinepick_testutils::cluster::wait_until;
use sardinepick_testutils::fleet::caller::Ask;
use sardinepick_testutils::fleet::deployment::{Deployment, configuration, with_accounts};
use sardinepick_testutils::fleet::runner::Runner;
use sardinepick_testutils::fleet::store::Fault;
use tokio::time::sleep;

/// More nodes than follow the store, so that some learn of it from others alone.
const NODES: usize = 6;
/// How often a runner writes its entry in the time that the copy lacks.
const WRITES: usize = 10;

fn id(runner: &Runner) -> RunnerId {
    runner.id.parse().expect("an id")
}

/// Waits until all nodes know the last change of the store, which is the entry of `writer`.
async fn wait_written(set: &Deployment, writer: &Runner) {
    let written = set.store.revision();
    wait_until("all nodes know what was written", async || {
        set.nodes.iter().all(|node| {
            let register = node.shared.register();
            let runner = register.get(&id(writer)).expect("it is known");
            runner.entry.at.revision.0 == written
        })
    })
    .await;
}

/// A deployment with a copy of its store, after which the runner at `writer` has written its entry
/// often, as all nodes know; then the store has come back from the copy.
async fn come_back(writer: usize) -> Deployment {
    come_back_shown(writer, None).await
}

/// The same with a store that names its era as `shown`.
async fn come_back_shown(writer: usize, shown: Option<&[&str]>) -> Deployment {
    let set = Deployment::new().await;
    if let Some(shown) = shown {
        set.store.show_era(shown);
    }
    let set = set.with_plain(3).await.with_nodes(NODES).await;
    let copy = set.store.copy();
    for _ in 0..WRITES {
        set.runners[writer].write_entry();
    }
    wait_written(&set, &set.runners[writer]).await;
    set.store.set_fault(Fault::Reset);
    let lost = set.store.come_back(&copy);
    set.store.set_fault(Fault::None);
    set.store.write_again(&lost);
    set
}

async fn assert_leaving_known(set: &Deployment, runner: &Runner) {
    runner.drain();
    wait_until("all nodes know that it leaves", async || {
        set.nodes.iter().all(|node| {
            let register = node.shared.register();
            register.get(&id(runner)).is_none_or(fleet::runner::Runner::is_leaving)
        })
    })
    .await;
    let before = runner.seen().len();
    for n in 0..NODES * 4 {
        set.send(n % NODES, &Ask::new("/board/a", &format!("r{n}"))).await;
    }
    assert_eq!(runner.seen().len(), before);
}

/// Guards against a store that comes back from a copy and names no era.
#[tokio::test]
async fn leaving_after_copy_without_era_told_to_all() {
    let set = come_back_shown(0, Some(&[])).await;
    assert_leaving_known(&set, &set.runners[0]).await;
}

/// Guards against a runner's leaving that nodes which do not follow the store are not told of.
#[tokio::test]
async fn leaving_under_earlier_revision_told_to_all() {
    let set = come_back(1).await;
    assert_leaving_known(&set, &set.runners[0]).await;
}

/// Guards against a runner's leaving that is dropped as older than what the runner wrote in the time
/// that the copy lacks.
#[tokio::test]
async fn leaving_of_runner_that_wrote_in_lost_time_taken() {
    let set = come_back(0).await;
    assert_leaving_known(&set, &set.runners[0]).await;
}

/// Guards against a change that is never seen: the store has passed the revision from which a watch
/// goes on again, so it does not answer that it lacks it.
#[tokio::test]
async fn change_in_lost_revisions_seen() {
    let set = Deployment::new().await.with_plain(3).await.with_nodes(NODES).await;
    let copy = set.store.copy();
    set.runners[1].write_entry();
    wait_written(&set, &set.runners[1]).await;
    set.store.set_fault(Fault::Reset);
    let lost = set.store.come_back(&copy);
    // The leaving has a revision that was given out before, and others follow it at once.
    set.runners[0].drain();
    set.store.write_again(&lost);
    for _ in 0..WRITES {
        set.runners[2].write_entry();
    }
    set.store.set_fault(Fault::None);
    assert_leaving_known(&set, &set.runners[0]).await;
}

/// Guards against a node that stops following a store whose answers name no era that can be believed.
#[tokio::test]
async fn era_not_believed_store_followed() {
    let set = Deployment::new().await.with_plain(2).await.with_nodes(2).await;
    let shown: [&[&str]; 6] =
        [&[], &["x"], &["1", "2"], &["99999999999999999999"], &["-1"], &["4096"]];
    for (at, values) in shown.into_iter().enumerate() {
        set.store.show_era(values);
        let version = 10 + at as u64;
        set.store.put("config", "main", &configuration(version));
        wait_until("the configuration is in force", async || {
            set.nodes.iter().all(|node| node.shared.status().version.0 == version)
        })
        .await;
    }
    set.store.show_own_era();
    assert!(set.nodes.iter().all(|node| node.shared.era_tracker.era().0 == 1));
}

/// Guards against answers of a former era that are taken for new ones, and against a node that serves
/// nobody while it gets no others.
#[tokio::test]
async fn era_falls_service_goes_on() {
    let set = Deployment::new().await.with_plain(2).await.with_nodes(2).await;
    set.store.show_era(&["0"]);
    set.store.put("config", "main", &configuration(20));
    let former = set.nodes[0].shared.metrics.store_eras.with_label_values(&["former"]);
    wait_until("an answer is not believed", async || former.get() > 0).await;
    assert_eq!(set.ask("/board/a", "r1").await.status, Some(StatusCode::OK));
    assert_eq!(set.nodes[0].shared.status().version.0, 1);
    set.store.show_own_era();
    wait_until("the configuration is in force", async || {
        set.nodes.iter().all(|node| node.shared.status().version.0 == 20)
    })
    .await;
}

async fn send_with_key(set: &Deployment, id: &str, key: &str) -> Option<StatusCode> {
    set.send(0, &Ask { headers: &[("credential", key)], ..Ask::new("/board/a", id) }).await.status
}

async fn in_force(set: &Deployment, version: u64) {
    wait_until("the configuration is in force", async || {
        set.nodes.iter().all(|node| node.shared.status().version.0 == version)
    })
    .await;
}

/// Guards against a key that is refused since a copy shows an earlier configuration as the newest, and
/// against one that was taken away and holds again.
#[tokio::test]
async fn unknown_key_copy_shows_earlier_configuration_not_denied() {
    let set = Deployment::new().await.with_plain(2).await.with_nodes(2).await;
    set.store.put("config", "main", &with_accounts(2, &[("kitchen", &["key-1", "key-2"], None)]));
    in_force(&set, 2).await;
    let copy = set.store.copy();
    set.store.put("config", "main", &with_accounts(3, &[("kitchen", &["key-1"], None)]));
    in_force(&set, 3).await;
    set.store.come_back(&copy);
    let eras = || set.nodes.iter().map(|node| node.shared.era_tracker.era().0);
    wait_until("all nodes know the era", async || eras().all(|era| era == 2)).await;
    assert_eq!(send_with_key(&set, "r1", "key-1").await, Some(StatusCode::OK));
    assert_eq!(send_with_key(&set, "r2", "key-2").await, Some(StatusCode::UNAUTHORIZED));
    // A later configuration that was acknowledged may have it.
    assert_eq!(send_with_key(&set, "r3", "key-3").await, Some(StatusCode::SERVICE_UNAVAILABLE));
    let accounts = [("kitchen", &["key-1", "key-3"][..], None)];
    set.store.put("config", "main", &with_accounts(4, &accounts));
    in_force(&set, 4).await;
    assert_eq!(send_with_key(&set, "r4", "key-3").await, Some(StatusCode::OK));
    assert_eq!(send_with_key(&set, "r5", "key-4").await, Some(StatusCode::UNAUTHORIZED));
}

/// Guards against entries of nodes, and requests that are not run, that the store lacks for good.
#[tokio::test]
async fn copy_lacks_own_objects_written_again() {
    let mut set = Deployment::new().await.with_plain(2).await;
    let copy = set.store.copy();
    set = set.with_nodes(NODES).await;
    wait_until("nodes have written", async || set.store.count("sardinepick-nodes") >= 3).await;
    let before = set.store.calls().0;
    let lost = set.store.come_back(&copy);
    set.store.write_again(&lost);
    wait_until("they are there again", async || set.store.count("sardinepick-nodes") >= 3).await;
    // Two lists, two watches and the entry of each node that follows the store, with room for one pause.
    assert!(set.store.calls().0 - before <= 60, "{} calls", set.store.calls().0 - before);
}

/// Calls to the store in `span`, and the time until all nodes knew the register of the new era.
async fn calls_after(set: &Deployment, span: Duration, returns: bool) -> (u64, Duration) {
    let before = set.store.calls().0;
    let began = Instant::now();
    if returns {
        let copy = set.store.copy();
        set.runners[0].write_entry();
        wait_written(set, &set.runners[0]).await;
        let lost = set.store.come_back(&copy);
        set.store.write_again(&lost);
        let era = set.store.era();
        wait_until("all nodes know the register of the era", async || {
            let known = set.nodes.iter().map(|node| node.shared.status().register.era.0);
            known.map(u64::from).all(|known| known == era)
        })
        .await;
    }
    let whole = began.elapsed();
    sleep(span.saturating_sub(whole)).await;
    (set.store.calls().0 - before, whole)
}

/// Guards against nodes that all turn to the store when it comes back from a copy.
#[tokio::test(flavor = "multi_thread")]
async fn calls_after_return_do_not_grow_with_nodes() {
    let span = Duration::from_secs(4);
    for nodes in [6, 20] {
        let set = Deployment::new().await.with_plain(3).await.with_nodes(nodes).await;
        sleep(span).await;
        let (calm, _) = calls_after(&set, span, false).await;
        let (after, whole) = calls_after(&set, span, true).await;
        println!(
            "{nodes} nodes: {calm} calls in {span:?}, {after} after a return; whole in {whole:?}"
        );
        assert!(after <= calm + 60, "{nodes} nodes: {after} calls after a return, {calm} before");
    }
}

/// Guards against a node that stays in an era between two, or in which the second changes nothing.
#[tokio::test]
async fn returns_two_within_a_second_leaving_known() {
    let set = come_back(0).await;
    let copy = set.store.copy();
    for _ in 0..WRITES {
        set.runners[1].write_entry();
    }
    let lost = set.store.come_back(&copy);
    let again = set.store.come_back(&set.store.copy());
    set.store.write_again(&lost);
    set.store.write_again(&again);
    assert_leaving_known(&set, &set.runners[0]).await;
    let era = set.store.era();
    assert_eq!(era, 4);
    wait_until("all nodes know the era", async || {
        set.nodes.iter().all(|node| u64::from(node.shared.era_tracker.era().0) == era)
    })
    .await;
}

/// Guards against requests that are refused, or wait, while the store comes back without runners that
/// are there.
#[tokio::test]
async fn runners_missing_from_copy_served_on() {
    let mut set = Deployment::new().await;
    let copy = set.store.copy();
    set = set.with_plain(3).await.with_nodes(3).await;
    let lost = set.store.come_back(&copy);
    let eras = || set.nodes.iter().map(|node| node.shared.era_tracker.era().0);
    wait_until("all nodes know the era", async || eras().all(|era| era == 2)).await;
    for n in 0..30 {
        let told = set.send(n % 3, &Ask::new("/board/a", &format!("r{n}"))).await;
        assert_eq!(told.status, Some(StatusCode::OK), "r{n}");
    }
    set.store.write_again_drawn(&lost, 7, Duration::from_millis(500)).await;
    sleep(DOUBT + Duration::from_millis(500)).await;
    for node in &set.nodes {
        assert_eq!(node.shared.register().runners().count(), 3);
    }
}
