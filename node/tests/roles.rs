//! End-to-end test of the role decisions' input.

use std::time::Duration;

use sardinepick_lib::config::object::Role;
use sardinepick_lib::hash::Digest;
use sardinepick_testutils::caller::Caller;
use sardinepick_testutils::cluster::{Cluster, free_address, own_ip, wait_until};
use sardinepick_testutils::engine::{Engine, Speed};

const KEY: &str = "clerk-key";

/// Clients send long prompts to all nodes. The node that decides on roles must estimate the demand
/// of the whole service: its own share alone would look like idleness, and engines would keep their
/// roles although the mix of requests has shifted.
#[tokio::test(flavor = "multi_thread")]
async fn demand_estimate_covers_all_nodes() {
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
    let service = "telraad".parse().expect("the service name is valid");
    wait_until("every node estimates the total demand", || async {
        // 5 requests of about 1,300 prompt tokens to each of 3 nodes: about one second of one
        // engine.
        let calls = (0..15).map(|n| {
            let (caller, prompt) = (caller.clone(), prompt.clone());
            let front = cluster.front(n % 3);
            async move { caller.complete(front, "telraad", &format!("d-{n}"), &prompt, 2).await }
        });
        futures_util::future::join_all(calls).await;
        (0..3).all(|at| {
            let pool = cluster.node(at).node.pool(&service).expect("the service is configured");
            pool.state().estimate.current().prefill > 0.2
        })
    })
    .await;
}
