//! Duties that one node at a time has, on the whole path.

use std::collections::BTreeMap;
use std::time::Duration;

use http::StatusCode;
use sardinepick_testutils::cluster::wait_until;
use sardinepick_testutils::fleet::caller::Ask;
use sardinepick_testutils::fleet::deployment::{Deployment, with_accounts};
use sardinepick_testutils::fleet::platform::{Fault, Platform};
use sardinepick_testutils::fleet::store;
use serde_json::json;

const WINDOW: Duration = Duration::from_millis(500);
const TURNS: Duration = Duration::from_millis(300);

async fn deployment(nodes: usize) -> Deployment {
    let set = Deployment::new().await.with_platform(WINDOW).await;
    let accounts = [("kitchen", &["key-1"][..], None), ("cellar", &["key-2"][..], None)];
    set.store.put("config", "main", &with_accounts(1, &accounts));
    set.with_plain(2).await.with_engines(0, 2).await.with_nodes(nodes).await
}

fn platform(set: &Deployment) -> Platform {
    set.platform.as_ref().expect("it has one").0.clone()
}

/// Sends requests of both accounts to all nodes, and gives how many were served of each.
async fn send(set: &Deployment, round: usize) -> BTreeMap<String, u64> {
    let mut served = BTreeMap::new();
    for at in 0..set.nodes.len() {
        for (account, key, path) in [
            ("kitchen", "key-1", "/board/a"),
            ("kitchen", "key-1", "/count/a"),
            ("cellar", "key-2", "/eggs/a"),
        ] {
            let id = format!("{round}-{at}-{}", path.len());
            let ask = Ask { headers: &[("credential", key)], ..Ask::new(path, &id) };
            let told = set.send(at, &ask).await;
            let ok = told.status == Some(StatusCode::OK);
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

/// What has been reported in all windows.
fn reported(set: &Deployment) -> BTreeMap<String, u64> {
    let mut sum = BTreeMap::new();
    platform(set).windows().into_values().for_each(|counts| add(&mut sum, counts));
    sum
}

async fn first_report(set: &Deployment) {
    wait_until("a window is reported", async || !platform(set).windows().is_empty()).await;
}

#[tokio::test]
async fn usage_of_all_nodes_reported() {
    let set = deployment(3).await;
    first_report(&set).await;
    let mut served = BTreeMap::new();
    for round in 0..6 {
        add(&mut served, send(&set, round).await);
    }
    assert_eq!(served, BTreeMap::from([("cellar".to_owned(), 18), ("kitchen".to_owned(), 36)]));
    wait_until("all is reported", async || reported(&set) == served).await;
    assert_eq!(platform(&set).violation(TURNS), None);
}

/// Guards against a window that is reported twice with different counts where answers are lost.
#[tokio::test]
async fn usage_answers_lost_same_counts_again() {
    let set = deployment(3).await;
    first_report(&set).await;
    platform(&set).set_fault(Fault::LosesAnswers);
    let mut served = BTreeMap::new();
    for round in 0..4 {
        add(&mut served, send(&set, round).await);
    }
    set.store.lose_answers(2);
    let calls = platform(&set).calls().len();
    wait_until("calls are repeated", async || platform(&set).calls().len() > calls + 3).await;
    platform(&set).set_fault(Fault::None);
    wait_until("all is reported", async || reported(&set) == served).await;
    assert_eq!(platform(&set).violation(TURNS), None);
}

/// Guards against windows that are lost while the platform does not take calls.
#[tokio::test]
async fn usage_platform_away_reported_later() {
    let set = deployment(2).await;
    first_report(&set).await;
    let mut served = BTreeMap::new();
    for fault in [Fault::Busy, Fault::Silent] {
        platform(&set).set_fault(fault);
        add(&mut served, send(&set, fault as usize).await);
        tokio::time::sleep(WINDOW * 2).await;
    }
    platform(&set).set_fault(Fault::None);
    wait_until("all is reported", async || reported(&set) == served).await;
    assert_eq!(platform(&set).violation(TURNS), None);
}

/// Guards against duties that nobody has once the holder stops, and against calls of two holders.
#[tokio::test]
async fn holder_stopped_another_takes_over() {
    let mut set = deployment(3).await;
    first_report(&set).await;
    let mut served = send(&set, 0).await;
    let holder = platform(&set).calls().last().expect("a call").holder.clone();
    let at = set.nodes.iter().position(|node| node.shared.me.id.as_str() == holder);
    let stopped = set.nodes.remove(at.expect("the holder is a node"));
    stopped.stop().await;
    add(&mut served, send(&set, 1).await);
    wait_until("all is reported", async || reported(&set) == served).await;
    let calls = platform(&set).calls();
    assert!(calls.iter().any(|call| call.holder != holder));
    assert_eq!(platform(&set).violation(TURNS), None);
}

/// Guards against duties that stay with a node which the store turns away.
#[tokio::test]
async fn lease_store_away_kept_then_renewed() {
    let set = deployment(3).await;
    first_report(&set).await;
    set.store.set_fault(store::Fault::Busy);
    let served = send(&set, 0).await;
    tokio::time::sleep(Duration::from_millis(2_500)).await;
    let calls = platform(&set).calls().len();
    tokio::time::sleep(WINDOW * 2).await;
    assert_eq!(platform(&set).calls().len(), calls, "no call without a lease");
    set.store.set_fault(store::Fault::None);
    wait_until("all is reported", async || reported(&set) == served).await;
    assert_eq!(platform(&set).violation(TURNS), None);
}

/// Guards against objects of another writer that stop the duties for good, or lower the number.
#[tokio::test]
async fn lease_and_ledger_torn_replaced() {
    let set = deployment(2).await;
    first_report(&set).await;
    let token = platform(&set).calls().last().expect("a call").token;
    set.store.put("sardinepick-leases", "runners", &json!({"holder": 7}));
    set.store.put("sardinepick-usage", "ledger", &json!("torn"));
    let has_later = |call: &sardinepick_testutils::fleet::platform::Call| call.token > token;
    wait_until("calls go on", async || platform(&set).calls().iter().any(has_later)).await;
    assert_eq!(platform(&set).violation(TURNS), None);
    // What the windows are is checked as they are read.
    assert!(!platform(&set).windows().is_empty());
}

#[tokio::test]
async fn state_shows_holder_and_windows() {
    let set = deployment(2).await;
    wait_until("two windows are reported", async || platform(&set).windows().len() > 1).await;
    let holder = platform(&set).calls().last().expect("a call").holder.clone();
    let at = set.nodes.iter().position(|node| node.shared.me.id.as_str() == holder);
    let node = &set.nodes[at.expect("the holder is a node")];
    let told = set.caller.send(node.shared.settings.metrics, &Ask::new("/state", "r1")).await;
    let state: serde_json::Value = serde_json::from_slice(&told.body).expect("JSON");
    assert_eq!(state["duties"]["holder"], json!(holder));
    assert!(state["duties"]["left_ms"].as_u64().is_some_and(|left| left > 0));
    let windows = state["duties"]["windows"].as_array().expect("windows");
    assert_eq!(windows.last().expect("a window")["outcome"], json!("reported"));
    assert_eq!(state["accounts"], json!([{"name": "kitchen"}, {"name": "cellar"}]));
}

/// Guards against duties that are handed from node to node while the store serves none of them.
#[tokio::test]
async fn view_store_away_for_all_first_stays() {
    let set = deployment(3).await;
    first_report(&set).await;
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
