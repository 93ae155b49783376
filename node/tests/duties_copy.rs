//! The duties that one node at a time carries out, when the store is away or restored from a copy.

use std::collections::BTreeMap;
use std::time::Duration;

use sardinepick_testutils::cluster::wait_until;
use sardinepick_testutils::fleet::deployment::Deployment;
use sardinepick_testutils::fleet::platform::Platform;
use sardinepick_testutils::fleet::store::Fault;
use tokio::time::sleep;

const WINDOW: Duration = Duration::from_millis(500);
const CALL_GAP: Duration = Duration::from_millis(300);
/// How many windows are reported between the copy and the restore.
const LOST_WINDOWS: usize = 4;
const OUTAGES: usize = 3;
/// How long the store is away: some windows end meanwhile.
const OUTAGE: Duration = Duration::from_millis(1_600);

async fn deployment(nodes: usize) -> Deployment {
    let set = Deployment::new().await.with_platform(WINDOW).await;
    set.with_plain(2).await.with_nodes(nodes).await
}

fn platform(set: &Deployment) -> Platform {
    set.platform.as_ref().expect("the deployment has a platform").0.clone()
}

/// The number of reports per window.
fn reports(set: &Deployment) -> BTreeMap<u64, usize> {
    let mut reports = BTreeMap::new();
    for call in platform(set).calls().into_iter().filter(|call| call.path == "/usage") {
        *reports.entry(call.body["window"].as_u64().expect("a number")).or_default() += 1;
    }
    reports
}

async fn wait_reports(set: &Deployment, count: usize) {
    wait_until("windows are reported", async || reports(set).len() >= count).await;
}

fn assert_reported_once(set: &Deployment) {
    let repeated: Vec<_> = reports(set).into_iter().filter(|(_, count)| *count > 1).collect();
    assert_eq!(repeated, [], "windows reported more than once");
}

/// Guards against windows that are settled and reported twice, and against a pause in the holder's
/// reports.
#[tokio::test]
async fn usage_reported_once_by_same_holder() {
    let set = deployment(3).await;
    wait_reports(&set, 1).await;
    let copy = set.store.backup();
    let before = reports(&set).len();
    wait_reports(&set, before + LOST_WINDOWS).await;
    let holder = platform(&set).calls().last().expect("at least one call").holder.clone();
    let lost = set.store.restore(&copy);
    set.store.replay(&lost);
    let before = reports(&set).len();
    wait_reports(&set, before + LOST_WINDOWS).await;
    assert_reported_once(&set);
    assert_eq!(platform(&set).ordering_violation(CALL_GAP), None);
    assert_eq!(platform(&set).calls().last().expect("at least one call").holder, holder);
    let reports = reports(&set);
    let (first, last) = (reports.first_key_value(), reports.last_key_value());
    let span = last.expect("at least one window").0 - first.expect("at least one window").0 + 1;
    assert_eq!(reports.len() as u64, span, "a window was skipped");
}

/// Guards against windows that a holder reports again because the ledger that it reads after a failed
/// write still has them.
#[tokio::test]
async fn usage_reported_once_across_store_outage() {
    let set = deployment(1).await;
    wait_reports(&set, 1).await;
    for _ in 0..OUTAGES {
        let before = reports(&set).len();
        set.store.set_fault(Fault::Busy);
        sleep(OUTAGE).await;
        set.store.set_fault(Fault::None);
        wait_reports(&set, before + LOST_WINDOWS).await;
    }
    assert_reported_once(&set);
}

/// Guards against windows that a new holder, which only knows the restored copy, reports again.
#[tokio::test]
async fn usage_not_reported_twice_by_new_holder() {
    let mut set = deployment(3).await;
    wait_reports(&set, 1).await;
    let copy = set.store.backup();
    let shown = reports(&set);
    wait_reports(&set, shown.len() + LOST_WINDOWS).await;
    let holder = platform(&set).calls().last().expect("at least one call").holder.clone();
    set.store.set_fault(Fault::Busy);
    let at = set.nodes.iter().position(|node| node.shared.me.id.as_str() == holder);
    set.nodes.remove(at.expect("the holder is a node")).stop().await;
    let lost = set.store.restore(&copy);
    set.store.set_fault(Fault::None);
    set.store.replay(&lost);
    let before = reports(&set).len();
    wait_reports(&set, before + LOST_WINDOWS).await;
    // Windows that the copy shows as settled may be reported again with the same counts, as after
    // any failure of a holder.
    let repeated = reports(&set).into_iter().filter(|(_, count)| *count > 1);
    let repeated: Vec<_> = repeated.filter(|(window, _)| !shown.contains_key(window)).collect();
    assert_eq!(repeated, [], "windows reported more than once");
    platform(&set).windows();
    assert_eq!(platform(&set).ordering_violation(CALL_GAP), None);
    assert_ne!(platform(&set).calls().last().expect("at least one call").holder, holder);
}
