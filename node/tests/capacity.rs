//! The record of the required number of runners, and the orders of the holder of the duties.

use std::time::Duration;

use sardinepick_testutils::cluster::wait_until;
use sardinepick_testutils::fleet::deployment::{
    DEFAULT_DATA_CENTRE, Deployment, PLAIN_SERVICE, configuration,
};
use sardinepick_testutils::fleet::platform::Platform;
use sardinepick_testutils::fleet::store::Fault;
use serde_json::{Value, json};

const WINDOW: Duration = Duration::from_millis(500);
const KIND: &str = "sardinepick-capacity";
/// A serial number above those of the records that nodes write in these tests.
const LATER: u64 = 1 << 40;
/// The number of runners at the start.
const INITIAL: usize = 4;
/// Longer than several evaluations of the requirement and the time after which a number is stable.
const SETTLED: Duration = Duration::from_millis(3_500);

fn scaled(version: u64, max: u32) -> Value {
    let mut configuration = configuration(version);
    configuration["services"][1]["scaling"] = json!({
        "min": 1, "max": max, "bootS": 0.5, "spotPrice": 0.22,
        "zonePrices": {DEFAULT_DATA_CENTRE: 1.0},
    });
    configuration
}

async fn deployment() -> Deployment {
    let set = Deployment::new().await.with_platform(WINDOW).await;
    set.store.put("config", "main", &scaled(1, 30));
    set.with_plain(INITIAL).await
}

fn platform(set: &Deployment) -> Platform {
    set.platform.as_ref().expect("the deployment has a platform").0.clone()
}

fn record(set: &Deployment) -> Option<Value> {
    set.store.get(KIND, PLAIN_SERVICE)
}

fn required(set: &Deployment) -> Option<u64> {
    record(set)?["required"].as_u64()
}

/// The counts that were ordered, of reclaimable runners and of regular ones.
fn ordered(set: &Deployment) -> (Vec<u64>, Vec<u64>) {
    let orders = platform(set).calls().into_iter().filter(|call| call.path == "/desired-count");
    let (reclaimable, regular): (Vec<_>, Vec<_>) =
        orders.map(|call| call.body).partition(|body| body["spot"] == json!(true));
    let counts = |bodies: Vec<Value>| {
        bodies.iter().map(|body| body["desired"].as_u64().expect("a count")).collect()
    };
    (counts(reclaimable), counts(regular))
}

async fn wait_recorded_orders(set: &Deployment) {
    wait_until("an order is recorded", async || {
        record(set).is_some_and(|record| record["orders"][0]["count"] == json!(3))
    })
    .await;
}

async fn stop_holder(set: &mut Deployment) {
    let holder = platform(set).calls().last().expect("at least one call").holder.clone();
    let at = set.nodes.iter().position(|node| node.shared.me.id.as_str() == holder);
    set.nodes.remove(at.expect("the holder is a node")).stop().await;
    wait_until("another node makes calls", async || {
        platform(set).calls().last().is_some_and(|call| call.holder != holder)
    })
    .await;
}

/// Guards against a new holder that takes the number of serving runners as the requirement.
#[tokio::test]
async fn requirement_unchanged_by_new_holders() {
    let mut set = deployment().await.with_nodes(4).await;
    wait_recorded_orders(&set).await;
    assert_eq!(required(&set), Some(INITIAL as u64));
    for _ in 0..3 {
        set.add_runner(PLAIN_SERVICE, None).await;
        stop_holder(&mut set).await;
        tokio::time::sleep(SETTLED).await;
        assert_eq!(required(&set), Some(INITIAL as u64));
    }
    let (reclaimable, regular) = ordered(&set);
    assert!(reclaimable.iter().all(|count| *count == 3), "{reclaimable:?}");
    assert!(regular.is_empty(), "{regular:?}");
}

/// Guards against a record that stays unusable, or that keeps a new holder from ordering.
#[tokio::test]
async fn undecodable_record_replaced_by_initial_count() {
    let mut set = deployment().await.with_nodes(2).await;
    wait_recorded_orders(&set).await;
    for content in
        [json!("torn"), json!({"serial": 1, "initial": 4, "required": 4_000_000_000_u64})]
    {
        set.store.put(KIND, PLAIN_SERVICE, &content);
        let name = format!("edge-{}", content.is_string());
        let seeds = set.nodes.iter().map(|node| node.shared.me.peer).collect();
        set.add_node(&name, seeds).await;
        set.wait_ready().await;
        stop_holder(&mut set).await;
        wait_until("the record is replaced", async || required(&set) == Some(INITIAL as u64)).await;
    }
    assert!(ordered(&set).0.iter().all(|count| *count == 3));
}

/// Guards against orders by a holder that cannot read the store, and against a requirement that
/// changes with an outage.
#[tokio::test]
async fn store_outage_nothing_ordered() {
    let set = deployment().await.with_nodes(2).await;
    wait_recorded_orders(&set).await;
    set.store.set_fault(Fault::Busy);
    tokio::time::sleep(Duration::from_millis(2_500)).await;
    let before = ordered(&set);
    tokio::time::sleep(SETTLED).await;
    assert_eq!(ordered(&set), before);
    set.store.set_fault(Fault::None);
    wait_until("orders go on", async || ordered(&set).0.len() > before.0.len()).await;
    assert_eq!((required(&set), ordered(&set).1), (Some(INITIAL as u64), Vec::new()));
}

/// Guards against a new holder that orders without having read the record.
#[tokio::test]
async fn record_unreadable_new_holder_orders_nothing() {
    let mut set = deployment().await.with_nodes(3).await;
    wait_recorded_orders(&set).await;
    set.store.set_unavailable_kind(Some(KIND));
    set.add_runner(PLAIN_SERVICE, None).await;
    stop_holder(&mut set).await;
    let before = ordered(&set);
    tokio::time::sleep(SETTLED).await;
    assert_eq!(ordered(&set), before);
    set.store.set_unavailable_kind(None);
    wait_until("orders go on", async || ordered(&set).0.len() > before.0.len()).await;
    assert_eq!((required(&set), ordered(&set).1), (Some(INITIAL as u64), Vec::new()));
}

/// Guards against a holder that orders nothing, or releases runners, while it cannot write the record,
/// and against an order that is not recorded afterwards.
#[tokio::test]
async fn record_unwritable_last_requirement_in_force() {
    let set = deployment().await.with_nodes(2).await;
    wait_recorded_orders(&set).await;
    set.store.set_unavailable_kind(Some(KIND));
    set.store.put("config", "main", &scaled(2, 6));
    wait_until("the order is placed", async || ordered(&set).0.contains(&2)).await;
    tokio::time::sleep(SETTLED).await;
    assert_eq!((required(&set), ordered(&set).1), (Some(INITIAL as u64), Vec::new()));
    set.store.set_unavailable_kind(None);
    wait_until("the order is recorded", async || {
        record(&set).is_some_and(|record| record["orders"][0]["count"] == json!(2))
    })
    .await;
    assert_eq!(required(&set), Some(INITIAL as u64));
}

/// Guards against a record that is lost, or written twice with different content, after replies to
/// writes were lost.
#[tokio::test]
async fn write_replies_lost_record_consistent() {
    let set = deployment().await;
    set.store.drop_responses(6);
    let set = set.with_nodes(2).await;
    wait_recorded_orders(&set).await;
    assert_eq!(required(&set), Some(INITIAL as u64));
}

/// Guards against an older requirement from a backup that replaces the one in the holder's memory.
#[tokio::test]
async fn restored_older_record_superseded_by_memory() {
    let set = deployment().await.with_nodes(2).await;
    wait_recorded_orders(&set).await;
    let newer = record(&set).expect("a record");
    set.store.put(KIND, PLAIN_SERVICE, &json!({"serial": 0, "initial": 9, "required": 9}));
    let copy = set.store.backup();
    set.store.put(KIND, PLAIN_SERVICE, &newer);
    let lost = set.store.restore(&copy);
    assert_eq!(required(&set), Some(9));
    set.store.replay(&lost);
    // The replay has written all of this test's objects again.
    set.store.put(KIND, PLAIN_SERVICE, &json!({"serial": 0, "initial": 9, "required": 9}));
    wait_until("the record is written again", async || {
        required(&set) == Some(INITIAL as u64)
            && record(&set)
                .is_some_and(|record| record["serial"].as_u64() > newer["serial"].as_u64())
    })
    .await;
    assert!(ordered(&set).0.iter().all(|count| *count == 3), "{:?}", ordered(&set));
}

/// Guards against a holder that overwrites what another one has written, or ignores it.
#[tokio::test]
async fn other_holders_record_read_after_conflict() {
    let set = deployment().await.with_nodes(2).await;
    wait_recorded_orders(&set).await;
    set.store.put(KIND, PLAIN_SERVICE, &json!({"serial": LATER, "initial": 6, "required": 6}));
    // A lower bound changes the order, so the holder writes.
    set.store.put("config", "main", &scaled(2, 6));
    wait_until("the order is recorded", async || {
        record(&set).is_some_and(|record| record["orders"][0]["count"] == json!(2))
    })
    .await;
    assert_eq!(required(&set), Some(6));
    assert!(record(&set).is_some_and(|record| record["serial"].as_u64() > Some(LATER)));
}

/// Guards against regular runners at the full price in a data centre without reclaimable ones, while
/// the runners that serve can carry the load.
#[tokio::test]
async fn no_reclaimable_available_no_regular_ordered() {
    let set = deployment().await;
    platform(&set).set_without_capacity(DEFAULT_DATA_CENTRE);
    let set = set.with_nodes(2).await;
    wait_until("the requirement is recorded", async || required(&set).is_some()).await;
    tokio::time::sleep(SETTLED).await;
    assert_eq!(ordered(&set), (Vec::new(), Vec::new()));
}

/// Guards against writes while neither the requirement nor an order changes.
#[tokio::test]
async fn nothing_changes_record_not_written() {
    let set = deployment().await.with_nodes(2).await;
    wait_recorded_orders(&set).await;
    let before = record(&set);
    // Orders are repeated after the boot time, as the runners do not start.
    let orders = ordered(&set).0.len();
    wait_until("an order is repeated", async || ordered(&set).0.len() > orders).await;
    assert_eq!(record(&set), before);
}
