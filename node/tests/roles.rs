//! Roles that follow the mix, on the whole path.

use std::time::Duration;

use sardinepick_lib::config::object::Role;
use sardinepick_lib::hash::Digest;
use sardinepick_testutils::caller::Caller;
use sardinepick_testutils::cluster::{Cluster, free_address, own_ip, wait_until};
use sardinepick_testutils::engine::{Engine, Speed};

const KEY: &str = "clerk-key";

/// Symptom: engines keep their roles although the mix has shifted. Sequence: callers send long
/// briefs to all nodes; the node that decides sees a part of them. Cause: its own part of the demand
/// taken for all of it, which looks like idleness. The decision must come from the whole.
#[tokio::test(flavor = "multi_thread")]
async fn demand_of_whole_service_seen_by_holder() {
    let speed =
        Speed { prefill: 20_000, decode: 400, role_change_time: Duration::from_millis(200) };
    let engine = Engine::start(free_address(own_ip()), Role::Mixed, speed).await;
    let engine = engine.expect("a free address");
    let key = Digest::of(KEY.as_bytes());
    let config = format!(
        "begin; create model m version = 1; \
         create service telraad model = m, deadline = 20s, role_price = 1s; \
         create runner telraad-1 service = telraad, address = {}, data_centre = a, slots = 64; \
         create account clerk key = {key}, rate = 1000, burst = 1000, concurrency = 500; commit",
        engine.address()
    );
    let cluster = Cluster::start(3, &["a"], &config).await;
    let caller = Caller::new(KEY);
    let prompt = "a long brief ".repeat(400);
    let service = "telraad".parse().expect("a right name");
    wait_until("every node sees the whole demand", || async {
        // 5 requests to each of 3 nodes, of some 1,300 prompt tokens: about an engine's second.
        let calls = (0..15).map(|n| {
            let (caller, prompt) = (caller.clone(), prompt.clone());
            let front = cluster.front(n % 3);
            async move { caller.complete(front, "telraad", &format!("d-{n}"), &prompt, 2).await }
        });
        futures_util::future::join_all(calls).await;
        (0..3).all(|at| {
            let pool = cluster.node(at).node.pool(&service).expect("the service is there");
            pool.peek().estimate.current().prefill > 0.2
        })
    })
    .await;
}
