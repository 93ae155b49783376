//! End-to-end tests of client account keys.

use std::time::Duration;

use http::StatusCode;
use sardinepick_testutils::cluster::wait_until;
use sardinepick_testutils::fleet::caller::{Reply, RequestSpec};
use sardinepick_testutils::fleet::deployment::{Deployment, with_accounts};
use sardinepick_testutils::fleet::runner::{Faults, ReceivedRequest, Runner};
use sardinepick_testutils::fleet::store::Fault;
use serde_json::json;

const KITCHEN: (&str, &[&str], Option<u8>) = ("kitchen", &["key-1", "key-2"], None);

async fn deployment(nodes: usize) -> Deployment {
    let set = Deployment::new().await;
    set.store.put("config", "main", &with_accounts(1, &[KITCHEN]));
    set.with_plain(2).await.with_engines(2, 2).await.with_nodes(nodes).await
}

async fn send(set: &Deployment, path: &str, id: &str, key: &str) -> Reply {
    set.send(0, &RequestSpec { headers: &[("credential", key)], ..RequestSpec::new(path, id) })
        .await
}

fn seen(set: &Deployment, id: &str) -> Vec<ReceivedRequest> {
    set.runners.iter().flat_map(Runner::received).filter(|s| s.id == id).collect()
}

fn account(seen: &ReceivedRequest) -> Option<&str> {
    seen.headers.get("tenant").and_then(|value| value.to_str().ok())
}

async fn wait_in_force(set: &Deployment, version: u64) {
    wait_until("the configuration is in force", async || {
        set.nodes.iter().all(|node| node.shared.status().version.0 >= version)
    })
    .await;
}

/// Guards against keys that are forwarded to runners, and against forged account names.
#[tokio::test]
async fn runner_receives_account_instead_of_key() {
    let set = deployment(1).await;
    for (path, id) in [("/board/a", "p1"), ("/eggs/a", "p2"), ("/count/a", "g1")] {
        let headers = [("credential", "key-2"), ("tenant", "cellar"), ("token-count", "1460,80")];
        let response =
            set.send(0, &RequestSpec { headers: &headers, ..RequestSpec::new(path, id) }).await;
        assert_eq!(response.status, Some(StatusCode::OK), "{path}");
        let seen = seen(&set, id);
        assert!(!seen.is_empty());
        for seen in &seen {
            assert_eq!(account(seen), Some("kitchen"), "{path}");
            assert!(!seen.headers.contains_key("credential"), "{path}");
        }
    }
}

/// Guards against later calls without the account name when a stream is resumed on another runner.
#[tokio::test]
async fn resumed_stream_carries_account() {
    let set = deployment(1).await;
    for runner in &set.runners {
        runner.set_faults(Faults { abort_after: Some(3), ..Faults::default() });
    }
    send(&set, "/count/a", "g1", "key-1").await;
    let seen = seen(&set, "g1");
    assert!(
        seen.iter().filter(|s| s.ran).count() > 1,
        "the stream was not resumed on another runner"
    );
    for seen in &seen {
        assert_eq!(account(seen), Some("kitchen"));
        assert!(!seen.headers.contains_key("credential"));
    }
}

#[tokio::test]
async fn request_without_valid_key_refused() {
    let set = deployment(1).await;
    assert_eq!(send(&set, "/board/a", "r1", "key-3").await.status, Some(StatusCode::UNAUTHORIZED));
    assert_eq!(set.send_default("/board/a", "r2").await.status, Some(StatusCode::UNAUTHORIZED));
    let both = [("credential", "key-1"), ("credential", "key-2")];
    let response =
        set.send(0, &RequestSpec { headers: &both, ..RequestSpec::new("/board/a", "r3") }).await;
    assert_eq!(response.status, Some(StatusCode::UNAUTHORIZED));
    assert_eq!([set.run_count("r1"), set.run_count("r2"), set.run_count("r3")], [0, 0, 0]);
}

#[tokio::test]
async fn anonymous_route_needs_no_key() {
    let set = Deployment::new().await;
    let mut configuration = with_accounts(1, &[KITCHEN]);
    configuration["routes"][0]["anonymous"] = json!(true);
    set.store.put("config", "main", &configuration);
    let set = set.with_plain(1).await.with_nodes(1).await;
    let forged =
        RequestSpec { headers: &[("tenant", "cellar")], ..RequestSpec::new("/board/a", "r1") };
    assert_eq!(set.send(0, &forged).await.status, Some(StatusCode::OK));
    assert_eq!(account(&seen(&set, "r1")[0]), None);
    assert_eq!(set.send_default("/eggs/a", "r2").await.status, Some(StatusCode::UNAUTHORIZED));
}

#[tokio::test]
async fn account_rank_precedes_route_rank() {
    let accounts = [
        ("first", &["key-1"][..], Some(0)),
        ("last", &["key-2"][..], Some(3)),
        ("other", &["key-3"][..], None),
    ];
    for (priority, expected) in [(0, ["0", "6", "0"]), (1, ["1", "7", "4"])] {
        let set = Deployment::new().await;
        let mut configuration = with_accounts(1, &accounts);
        for route in configuration["routes"].as_array_mut().expect("routes") {
            route["priority"] = json!(priority);
        }
        set.store.put("config", "main", &configuration);
        let set = set.with_engines(0, 2).await.with_nodes(1).await;
        for (id, key) in [("g1", "key-1"), ("g2", "key-2"), ("g3", "key-3")] {
            send(&set, "/count/a", id, key).await;
        }
        let urgency = |id| seen(&set, id)[0].headers["request-priority"].clone();
        assert_eq!(["g1", "g2", "g3"].map(urgency), expected, "route rank {priority}");
    }
}

/// Guards against refusing a key that is newer than the node's configuration.
#[tokio::test]
async fn new_key_found_by_configuration_check() {
    let set = deployment(1).await;
    for version in 2..12 {
        let key = format!("key-of-{version}");
        set.store.put("config", "main", &with_accounts(version, &[("cellar", &[&key], None)]));
        let id = format!("r{version}");
        assert_eq!(send(&set, "/board/a", &id, &key).await.status, Some(StatusCode::OK));
        assert_eq!(account(&seen(&set, &id)[0]), Some("cellar"));
    }
}

/// Guards against a call to the store for every invalid key.
#[tokio::test]
async fn invalid_keys_cause_few_checks() {
    let set = deployment(1).await;
    let checks = || {
        let calls = &set.nodes[0].shared.metrics.store_calls;
        calls.with_label_values(&["configuration_check", "answered"]).get()
    };
    let started = std::time::Instant::now();
    for round in 0..25 {
        let keys: Vec<String> = (0..20).map(|n| format!("made-up-{round}-{n}")).collect();
        let asked = keys.iter().map(|key| send(&set, "/board/a", key, key));
        for response in futures_util::future::join_all(asked).await {
            assert_eq!(response.status, Some(StatusCode::UNAUTHORIZED));
        }
    }
    let most = started.elapsed().as_secs() + 2;
    assert!(checks() <= most, "{} checks in {:?}", checks(), started.elapsed());
}

/// Guards against a node that can reach neither the store nor other nodes and refuses a key
/// permanently.
#[tokio::test]
async fn unknown_key_unavailable_without_store_and_peers() {
    let set = deployment(1).await;
    set.store.set_fault(Fault::Busy);
    let response = send(&set, "/board/a", "r1", "key-3").await;
    assert_eq!(response.status, Some(StatusCode::SERVICE_UNAVAILABLE));
    assert!(response.header("retry-after").is_some());
    assert_eq!(send(&set, "/board/a", "r2", "key-1").await.status, Some(StatusCode::OK));
}

#[tokio::test]
async fn unknown_key_refused_without_store_with_peers() {
    let set = deployment(2).await;
    set.store.set_fault(Fault::Busy);
    let response = send(&set, "/board/a", "r1", "key-3").await;
    assert_eq!(response.status, Some(StatusCode::UNAUTHORIZED));
}

/// Guards against a revoked key that still works, and against interrupting requests that are in
/// progress with it.
#[tokio::test]
async fn revoked_key_refused_running_request_completes() {
    let set = deployment(2).await;
    for runner in &set.runners {
        runner
            .set_faults(Faults { event_interval: Duration::from_millis(100), ..Faults::default() });
    }
    let under_way = send(&set, "/count/a", "g1", "key-1");
    let revoke = async {
        wait_until("the stream runs", async || set.run_count("g1") > 0).await;
        let left = with_accounts(2, &[("kitchen", &["key-2"], None)]);
        set.store.put("config", "main", &left);
        wait_in_force(&set, 2).await;
        let response = send(&set, "/board/a", "r1", "key-1").await;
        assert_eq!(response.status, Some(StatusCode::UNAUTHORIZED));
        assert_eq!(send(&set, "/board/a", "r2", "key-2").await.status, Some(StatusCode::OK));
    };
    let (response, ()) = tokio::join!(under_way, revoke);
    assert!(response.complete && response.status == Some(StatusCode::OK));
    // The account's last key is removed, then the account itself; later it returns with another
    // key.
    for (version, accounts) in [(3, vec![("kitchen", &[][..], None)]), (4, vec![])] {
        set.store.put("config", "main", &with_accounts(version, &accounts));
        wait_in_force(&set, version).await;
        let response = send(&set, "/board/a", &format!("r{version}"), "key-2").await;
        assert_eq!(response.status, Some(StatusCode::UNAUTHORIZED));
    }
    set.store.put("config", "main", &with_accounts(5, &[("kitchen", &["key-9"], None)]));
    wait_in_force(&set, 5).await;
    assert_eq!(send(&set, "/board/a", "r5", "key-9").await.status, Some(StatusCode::OK));
}

/// Guards against keys in the state and metrics that nodes expose.
#[tokio::test]
async fn keys_not_exposed_in_state_or_metrics() {
    let set = deployment(2).await;
    for node in &set.nodes {
        let address = node.shared.settings.metrics;
        for path in ["/state", "/metrics"] {
            let response = set.caller.send(address, &RequestSpec::new(path, "r1")).await;
            assert!(response.status == Some(StatusCode::OK) && !response.text().contains("key-1"));
        }
    }
}

#[tokio::test]
async fn removed_key_causes_no_checks() {
    let set = deployment(1).await;
    set.store.put("config", "main", &with_accounts(2, &[("kitchen", &["key-2"], None)]));
    wait_in_force(&set, 2).await;
    for n in 0..20 {
        let response = send(&set, "/board/a", &format!("r{n}"), "key-1").await;
        assert_eq!(response.status, Some(StatusCode::UNAUTHORIZED));
    }
    let calls = &set.nodes[0].shared.metrics.store_calls;
    assert_eq!(calls.with_label_values(&["configuration_check", "answered"]).get(), 0);
}
