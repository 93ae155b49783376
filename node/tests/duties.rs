//! End-to-end tests of the duties that one node at a time carries out.

use std::collections::BTreeMap;
use std::time::Duration;

use http::StatusCode;
use sardinepick_testutils::cluster::wait_until;
use sardinepick_testutils::fleet::caller::RequestSpec;
use sardinepick_testutils::fleet::deployment::{Deployment, with_accounts};
use sardinepick_testutils::fleet::platform::{Fault, Platform};
use sardinepick_testutils::fleet::store;
use serde_json::json;

const WINDOW: Duration = Duration::from_millis(500);
const CALL_GAP: Duration = Duration::from_millis(300);

async fn deployment(nodes: usize) -> Deployment {
    let set = Deployment::new().await.with_platform(WINDOW).await;
    let accounts = [("kitchen", &["key-1"][..], None), ("cellar", &["key-2"][..], None)];
    set.store.put("config", "main", &with_accounts(1, &accounts));
    set.with_plain(2).await.with_engines(0, 2).await.with_nodes(nodes).await
}

fn platform(set: &Deployment) -> Platform {
    set.platform.as_ref().expect("the deployment has a platform").0.clone()
}

/// Sends requests of both accounts to all nodes, and returns how many were served per account.
async fn send(set: &Deployment, round: usize) -> BTreeMap<String, u64> {
    let mut served = BTreeMap::new();
    for at in 0..set.nodes.len() {
        for (account, key, path) in [
            ("kitchen", "key-1", "/board/a"),
            ("kitchen", "key-1", "/count/a"),
            ("cellar", "key-2", "/eggs/a"),
        ] {
            let id = format!("{round}-{at}-{}", path.len());
            let ask =
                RequestSpec { headers: &[("credential", key)], ..RequestSpec::new(path, &id) };
            let response = set.send(at, &ask).await;
            let ok = response.status == Some(StatusCode::OK);
            *served.entry(account.to_owned()).or_default() += u64::from(ok);
        }
    }
    served
}

fn add(sum: &mut BTreeMap<String, u64>, more: BTreeMap<String, u64>) {
    for (account, count) in more {
        *sum.entry(account).or_default() += count;
    }
}

/// The sum of the reports for all windows.
fn reported(set: &Deployment) -> BTreeMap<String, u64> {
    let mut sum = BTreeMap::new();
    platform(set).windows().into_values().for_each(|counts| add(&mut sum, counts));
    sum
}

async fn wait_first_report(set: &Deployment) {
    wait_until("a window is reported", async || !platform(set).windows().is_empty()).await;
}

#[tokio::test]
async fn usage_of_all_nodes_reported() {
    let set = deployment(3).await;
    wait_first_report(&set).await;
    let mut served = BTreeMap::new();
    for round in 0..6 {
        add(&mut served, send(&set, round).await);
    }
    assert_eq!(served, BTreeMap::from([("cellar".to_owned(), 18), ("kitchen".to_owned(), 36)]));
    wait_until("all usage is reported", async || reported(&set) == served).await;
    assert_eq!(platform(&set).ordering_violation(CALL_GAP), None);
}

/// Guards against a window that is reported twice with different counts after lost replies.
#[tokio::test]
async fn usage_replies_lost_same_counts_repeated() {
    let set = deployment(3).await;
    wait_first_report(&set).await;
    platform(&set).set_fault(Fault::DropResponse);
    let mut served = BTreeMap::new();
    for round in 0..4 {
        add(&mut served, send(&set, round).await);
    }
    set.store.drop_responses(2);
    let calls = platform(&set).calls().len();
    wait_until("calls are repeated", async || platform(&set).calls().len() > calls + 3).await;
    platform(&set).set_fault(Fault::None);
    wait_until("all usage is reported", async || reported(&set) == served).await;
    assert_eq!(platform(&set).ordering_violation(CALL_GAP), None);
}

/// Guards against windows that are lost while the platform accepts no calls.
#[tokio::test]
async fn usage_reported_after_platform_outage() {
    let set = deployment(2).await;
    wait_first_report(&set).await;
    let mut served = BTreeMap::new();
    for fault in [Fault::Busy, Fault::Silent] {
        platform(&set).set_fault(fault);
        add(&mut served, send(&set, fault as usize).await);
        tokio::time::sleep(WINDOW * 2).await;
    }
    platform(&set).set_fault(Fault::None);
    wait_until("all usage is reported", async || reported(&set) == served).await;
    assert_eq!(platform(&set).ordering_violation(CALL_GAP), None);
}

/// Guards against duties that no node takes over after the holder has stopped, and against
/// overlapping calls of two holders.
#[tokio::test]
async fn another_node_takes_over_from_stopped_holder() {
    let mut set = deployment(3).await;
    wait_first_report(&set).await;
    let mut served = send(&set, 0).await;
    let holder = platform(&set).calls().last().expect("at least one call").holder.clone();
    let at = set.nodes.iter().position(|node| node.shared.me.id.as_str() == holder);
    let stopped = set.nodes.remove(at.expect("the holder is a node"));
    stopped.stop().await;
    add(&mut served, send(&set, 1).await);
    wait_until("all usage is reported", async || reported(&set) == served).await;
    let calls = platform(&set).calls();
    assert!(calls.iter().any(|call| call.holder != holder));
    assert_eq!(platform(&set).ordering_violation(CALL_GAP), None);
}

/// Guards against a holder that keeps the duties although the store rejects its calls.
#[tokio::test]
async fn no_calls_without_lease_during_store_outage() {
    let set = deployment(3).await;
    wait_first_report(&set).await;
    set.store.set_fault(store::Fault::Busy);
    let served = send(&set, 0).await;
    tokio::time::sleep(Duration::from_millis(2_500)).await;
    let calls = platform(&set).calls().len();
    tokio::time::sleep(WINDOW * 2).await;
    assert_eq!(platform(&set).calls().len(), calls, "calls were made without a lease");
    set.store.set_fault(store::Fault::None);
    wait_until("all usage is reported", async || reported(&set) == served).await;
    assert_eq!(platform(&set).ordering_violation(CALL_GAP), None);
}

/// Guards against objects of another writer that block the duties permanently, or lower the epoch.
#[tokio::test]
async fn corrupt_lease_and_ledger_are_replaced() {
    let set = deployment(2).await;
    wait_first_report(&set).await;
    let token = platform(&set).calls().last().expect("at least one call").token;
    set.store.put("sardinepick-leases", "runners", &json!({"holder": 7}));
    set.store.put("sardinepick-usage", "ledger", &json!("torn"));
    let is_later = |call: &sardinepick_testutils::fleet::platform::Call| call.token > token;
    wait_until("calls go on", async || platform(&set).calls().iter().any(is_later)).await;
    assert_eq!(platform(&set).ordering_violation(CALL_GAP), None);
    // `windows` checks the reports for consistency.
    assert!(!platform(&set).windows().is_empty());
}

#[tokio::test]
async fn state_shows_holder_and_windows() {
    let set = deployment(2).await;
    wait_until("two windows are reported", async || platform(&set).windows().len() > 1).await;
    let holder = platform(&set).calls().last().expect("at least one call").holder.clone();
    let at = set.nodes.iter().position(|node| node.shared.me.id.as_str() == holder);
    let node = &set.nodes[at.expect("the holder is a node")];
    let response =
        set.caller.send(node.shared.settings.metrics, &RequestSpec::new("/state", "r1")).await;
    let state: serde_json::Value = serde_json::from_slice(&response.body).expect("JSON");
    assert_eq!(state["duties"]["holder"], json!(holder));
    assert!(state["duties"]["left_ms"].as_u64().is_some_and(|left| left > 0));
    let windows = state["duties"]["windows"].as_array().expect("list of windows");
    assert_eq!(windows.last().expect("at least one window")["outcome"], json!("reported"));
    assert_eq!(state["accounts"], json!([{"name": "kitchen"}, {"name": "cellar"}]));
}

/// Guards against duties that move from node to node while the store serves no node.
#[tokio::test]
async fn rank_unchanged_while_store_serves_no_node() {
    let set = deployment(3).await;
    wait_first_report(&set).await;
    let first = set.nodes[0].shared.view().first[0].clone();
    set.store.set_fault(store::Fault::Busy);
    let none_served = |node: &sardinepick_node::serve::run::Running| {
        let roster = node.shared.roster();
        !roster.me().served && roster.present_records().all(|record| !record.served)
    };
    wait_until("no node is served", async || set.nodes.iter().all(none_served)).await;
    for node in &set.nodes {
        assert_eq!(node.shared.view().first[0], first);
    }
}
