//! End-to-end tests of fair shares among client accounts.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use http::StatusCode;
use sardinepick_node::serve::settings::Settings;
use sardinepick_testutils::cluster::wait_until;
use sardinepick_testutils::fleet::caller::RequestSpec;
use sardinepick_testutils::fleet::deployment::{Deployment, with_accounts};
use sardinepick_testutils::fleet::runner::Faults;
use tokio::task::JoinSet;
use tokio::time::{Instant, sleep, timeout};

const KITCHEN: (&str, &[&str], Option<u8>) = ("kitchen", &["key-1"], Some(1));
const CELLAR: (&str, &[&str], Option<u8>) = ("cellar", &["key-2"], Some(1));

async fn deployment(nodes: usize, is_enabled: bool) -> Deployment {
    let set = Deployment::new().await.with_fair_shares(is_enabled);
    set.store.put("config", "main", &with_accounts(1, &[KITCHEN, CELLAR]));
    set.with_engines(1, 2).await.with_nodes(nodes).await
}

/// Sends a generation and returns its status and how long it took.
async fn send(
    set: &Deployment,
    node: usize,
    id: &str,
    key: &str,
) -> (Option<StatusCode>, Duration) {
    let headers = [("credential", key), ("model", "m"), ("token-count", "9200,60")];
    let began = Instant::now();
    let spec = RequestSpec { headers: &headers, ..RequestSpec::new("/count/a", id) };
    let answer = set.send(node, &spec).await;
    (answer.status, began.elapsed())
}

#[tokio::test]
async fn generation_with_fair_shares_answered_at_every_node() {
    let set = deployment(3, true).await;
    for node in 0..3 {
        for request in 0..4 {
            let id = format!("g{node}-{request}");
            let (status, _) = send(&set, node, &id, "key-1").await;
            assert_eq!(status, Some(StatusCode::OK), "{id}");
            assert_eq!(set.run_count(&id), 1, "{id}");
        }
    }
}

/// Guards against an account whose burst takes the capacity of another.
#[tokio::test]
async fn burst_of_one_account_leaves_other_its_share() {
    let (statuses, slowest) = serve_burst().await;
    assert_eq!(statuses.get(&("key-2", Some(StatusCode::OK))), Some(&8), "{statuses:?}");
    assert_eq!(statuses.values().sum::<usize>(), 168, "every request has an answer");
    assert!(statuses.keys().all(|(_, status)| status.is_some()), "{statuses:?}");
    // The objective of the route is 500 ms.
    assert!(slowest < Duration::from_millis(500), "{slowest:?}");
}

/// Statuses by key.
type Statuses = HashMap<(&'static str, Option<StatusCode>), usize>;

/// Serves a burst of one account and a few requests of another. Returns all statuses and the longest
/// time of the other account.
async fn serve_burst() -> (Statuses, Duration) {
    let set = Arc::new(deployment(2, true).await);
    let mut tasks = JoinSet::new();
    for request in 0..160 {
        let set = set.clone();
        tasks.spawn(async move {
            let id = format!("k{request}");
            ("key-1", send(&set, request % 2, &id, "key-1").await)
        });
    }
    sleep(Duration::from_millis(50)).await;
    for request in 0..8 {
        let set = set.clone();
        tasks.spawn(async move {
            sleep(Duration::from_millis(60) * request).await;
            let id = format!("c{request}");
            ("key-2", send(&set, request as usize % 2, &id, "key-2").await)
        });
    }
    let (mut statuses, mut slowest) = (Statuses::new(), Duration::ZERO);
    while let Some(done) = tasks.join_next().await {
        let (key, (status, took)) = done.expect("a request task");
        *statuses.entry((key, status)).or_default() += 1;
        if key == "key-2" {
            slowest = slowest.max(took);
        }
    }
    (statuses, slowest)
}

/// Guards against work that is placed by account where shares are disabled.
#[tokio::test]
async fn disabled_shares_use_no_account() {
    let set = deployment(1, false).await;
    assert_eq!(send(&set, 0, "g1", "key-1").await.0, Some(StatusCode::OK));
    assert!(set.nodes[0].shared.fair_share.waiting_pools().is_empty());
    assert_eq!(set.nodes[0].shared.fair_share.account(Some("kitchen")).0, 0);
}

#[test]
fn settings_section_read_and_rejected_with_field() {
    let text = include_str!("../../platform/node.ini");
    assert!(text.contains("[fair_shares]\nenabled = true"), "on for the platform");
    let error = Settings::parse("node.ini", "[fair_shares]\nenabled = maybe\n")
        .expect_err("the value is invalid");
    let expected = "[fair_shares] enabled: \"maybe\" is not accepted; accepted: true or false";
    assert!(error.to_string().contains(expected), "{error}");
}

/// Guards against charges that stay as estimated, and against work that is free for a caller that
/// leaves before its first event.
#[tokio::test]
async fn request_charged_what_it_used_also_if_its_caller_leaves() {
    let set = deployment(1, true).await;
    assert_eq!(send(&set, 0, "g1", "key-1").await.0, Some(StatusCode::OK));
    let shares = &set.nodes[0].shared.fair_share;
    wait_until("the charge is settled", async || shares.open_charges() == 0).await;
    assert!(shares.recent(shares.account(Some("kitchen"))) > Duration::ZERO);
    for runner in &set.runners {
        runner.set_faults(Faults { hang: true, ..Faults::default() });
    }
    let before = shares.recent(shares.account(Some("cellar")));
    assert_eq!(before, Duration::ZERO);
    let left = timeout(Duration::from_millis(300), send(&set, 0, "g2", "key-2")).await;
    assert!(left.is_err(), "the runners hang");
    wait_until("the charge is settled", async || shares.open_charges() == 0).await;
    let used = shares.recent(shares.account(Some("cellar")));
    assert!(used > Duration::from_millis(100), "{used:?}");
}
