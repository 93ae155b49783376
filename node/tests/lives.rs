//! Runners that restart under the same id, and invalid entries of other writers in the register.

use std::time::Duration;

use http::StatusCode;
use sardinepick_lib::fleet::cache::Chain;
use sardinepick_lib::history::Point;
use sardinepick_lib::id::RunnerId;
use sardinepick_node::serve::shared::Shared;
use sardinepick_node::serve::store_watch::{apply_difference, difference};
use sardinepick_platform::store::{Change, Object};
use sardinepick_testutils::cluster::{free_address, own_ip, wait_until};
use sardinepick_testutils::fleet::caller::RequestSpec;
use sardinepick_testutils::fleet::deployment::Deployment;
use sardinepick_testutils::fleet::runner::{Faults, Runner};
use serde_json::{Value, json};

const GENERATION: [(&str, &str); 3] =
    [("model", "m"), ("token-count", "1460,80"), ("prompt-prefix", "5c1e:800,91bd:410,e440:250")];

fn id(runner: &Runner) -> RunnerId {
    runner.id.parse().expect("an id")
}

fn address_known(shared: &Shared, runner: &Runner) -> bool {
    let register = shared.register();
    register.get(&id(runner)).is_some_and(|known| known.entry.address == runner.address())
}

async fn restart(deployment: &mut Deployment, at: usize) {
    let address = free_address(own_ip());
    let restarted = deployment.runners[at].restart(address).await.expect("a free address");
    deployment.runners[at] = restarted;
    let (node, runner) = (&deployment.nodes[0].shared, &deployment.runners[at]);
    wait_until("the node knows the new incarnation", async || address_known(node, runner)).await;
}

/// Guards against cached prompts that are assumed at a runner after its restart. A runner reads a
/// prompt, dies, and restarts under the same id. If its cache is tracked by the id alone, requests
/// are sent there for prompts that it must read again.
#[tokio::test]
async fn restarted_runner_has_empty_cache() {
    let mut deployment = Deployment::new().await.with_engines(1, 2).await.with_nodes(1).await;
    let request = RequestSpec { headers: &GENERATION, ..RequestSpec::new("/count/a", "s1") };
    assert_eq!(deployment.send(0, &request).await.status, Some(StatusCode::OK));
    let shared = deployment.nodes[0].shared.clone();
    let cached_tokens =
        |runner: &Runner| shared.register().get(&id(runner)).map(|r| r.cache.tokens());
    assert!(cached_tokens(&deployment.runners[0]).is_some_and(|tokens| tokens >= 1_460));
    restart(&mut deployment, 0).await;
    assert_eq!(cached_tokens(&deployment.runners[0]), Some(0));
    let request = RequestSpec { headers: &GENERATION, ..RequestSpec::new("/count/a", "s2") };
    assert_eq!(deployment.send(0, &request).await.status, Some(StatusCode::OK));
}

/// Guards against a restarted runner that is avoided, or believed idle while it works. Requests
/// hang at the previous incarnation and break off when it dies, after the new incarnation is known.
/// Their ends and failures must not be counted against the new incarnation.
#[tokio::test]
async fn previous_incarnation_does_not_affect_new_one() {
    let mut deployment = Deployment::new().await.with_plain(1).await.with_nodes(1).await;
    deployment.runners[0].set_faults(Faults { hang: true, ..Faults::default() });
    let shared = deployment.nodes[0].shared.clone();
    let previous = deployment.runners[0].clone();
    let front = deployment.front(0);
    let requests: Vec<_> = (0..4)
        .map(|n| {
            let caller = deployment.caller.clone();
            let name = format!("egg-{n}");
            tokio::spawn(async move {
                caller.send(front, &RequestSpec::new("/eggs/order", &name)).await
            })
        })
        .collect();
    wait_until("all requests hang", async || previous.received().len() == 4).await;
    // The entry of the new incarnation is written before the connections to the previous one break.
    let address = free_address(own_ip());
    let mut entry = previous.entry();
    entry["born"] = json!(entry["born"].as_u64().expect("a number") + 1);
    entry["address"] = json!(address.to_string());
    deployment.store.put("servers", &previous.id, &entry);
    wait_until("the node knows the new incarnation", async || {
        shared.register().get(&id(&previous)).is_some_and(|r| r.entry.address == address)
    })
    .await;
    deployment.runners[0] = previous.restart(address).await.expect("a free address");
    for request in requests {
        let answer = request.await.expect("the request ends");
        assert_eq!(answer.status, Some(StatusCode::BAD_GATEWAY), "the request may have run");
    }
    {
        let register = shared.register();
        let runner = register.get(&id(&previous)).expect("known");
        assert!(runner.own.is_empty() && runner.health.failure_rate() == 0.0);
    }
    assert_eq!(deployment.send_default("/eggs/order", "egg-9").await.status, Some(StatusCode::OK));
    assert_eq!(deployment.runners[0].run_count("egg-9"), 1);
}

/// Guards against requests to an address where no runner listens. A runner restarts at another
/// address, and a write of its previous incarnation arrives late. The latest write need not be of
/// the latest incarnation.
#[tokio::test]
async fn late_entry_of_previous_incarnation_ignored() {
    let mut deployment = Deployment::new().await.with_plain(2).await.with_nodes(1).await;
    let late = deployment.runners[0].entry();
    restart(&mut deployment, 0).await;
    deployment.store.put("servers", &deployment.runners[0].id, &late);
    // A change that the node applies after the late entry.
    deployment.runners[1].drain();
    let shared = deployment.nodes[0].shared.clone();
    wait_until("the node has seen both", async || {
        let now = shared.clock.now();
        shared.register().get(&id(&deployment.runners[1])).is_some_and(|r| !r.takes_work(now))
    })
    .await;
    assert!(address_known(&shared, &deployment.runners[0]));
    for n in 0..4 {
        let name = format!("r{n}");
        assert_eq!(deployment.send_default("/board/a", &name).await.status, Some(StatusCode::OK));
        assert_eq!(deployment.runners[0].run_count(&name), 1);
    }
}

/// Guards against long prompts that are read whole or refused for seconds after all nodes have
/// restarted. The caches of the runners are known only in the memory of the nodes, so new nodes
/// must query them.
#[tokio::test]
async fn all_nodes_restarted_cached_prompts_known() {
    let mut deployment = Deployment::new().await.with_engines(1, 2).await.with_nodes(1).await;
    let headers =
        [("model", "m"), ("token-count", "9400,80"), ("prompt-prefix", "5c1e:9000,e440:400")];
    let request = RequestSpec { headers: &headers, ..RequestSpec::new("/count/a", "s1") };
    assert_eq!(deployment.send(0, &request).await.status, Some(StatusCode::OK));
    deployment.nodes.remove(0).stop().await;
    deployment.add_node("edge-7", Vec::new()).await;
    let shared = deployment.nodes[0].shared.clone();
    let chain = Chain::new("m", [("5c1e", 9_000), ("other", 10)].into_iter());
    wait_until("the new node knows the cached prompts", async || {
        let register = shared.register();
        let runner = register.get(&id(&deployment.runners[0]));
        runner.is_some_and(|r| r.cache.fetchable(&chain) == 9_000)
    })
    .await;
}

/// Invalid entries, each made from a valid one by one change.
fn invalid_entries(valid: &Value) -> Vec<Value> {
    let changed = |field: &str, value: Value| {
        let mut entry = valid.clone();
        entry[field] = value;
        entry
    };
    let without = |field: &str| {
        let mut entry = valid.clone();
        entry.as_object_mut().expect("an object").remove(field);
        entry
    };
    let mut deep = json!("deep");
    for _ in 0..100 {
        deep = json!([deep]);
    }
    vec![
        changed("state", json!("asleep")),
        changed("stage", json!("both")),
        changed("born", json!("1764000000001")),
        changed("born", json!(1.5)),
        changed("born", json!(-3)),
        changed("slots", json!("eight")),
        changed("seq", json!(null)),
        changed("service", json!(["a"])),
        changed("address", json!("0.0.0.0:80")),
        changed("address", json!("nowhere")),
        without("address"),
        without("born"),
        without("zone"),
        json!({"models": deep}),
        json!("a text"),
        json!(null),
        json!({"x": "y".repeat(100_000)}),
    ]
}

/// Guards against the use of a runner whose entry was replaced by an invalid one, and against valid
/// entries that are ignored beside it. An invalid entry must remove what was known under its id.
#[tokio::test]
async fn invalid_entry_removes_runner() {
    let deployment = Deployment::new().await.with_plain(2).await.with_nodes(1).await;
    let shared = deployment.nodes[0].shared.clone();
    let replaced = deployment.runners[0].clone();
    for (n, entry) in invalid_entries(&replaced.entry()).into_iter().enumerate() {
        deployment.store.put("servers", &replaced.id, &entry);
        wait_until("the runner is not used", async || {
            shared.register().get(&id(&replaced)).is_none()
        })
        .await;
        let name = format!("r{n}");
        assert_eq!(
            deployment.send_default("/board/a", &name).await.status,
            Some(StatusCode::OK),
            "{entry:.80}"
        );
        assert_eq!(deployment.runners[1].run_count(&name), 1);
        replaced.write_entry();
        wait_until("its own entry is used again", async || address_known(&shared, &replaced)).await;
    }
    let text = String::from_utf8(shared.metrics.text()).expect("metrics are text");
    assert!(text.contains(r#"sardinepick_foreign_objects_total{reason="state",what="runner"} 1"#));
}

/// The same for a node that lists all entries, including entries under invalid ids.
#[tokio::test]
async fn list_with_invalid_entries_valid_ones_used() {
    let mut deployment = Deployment::new().await.with_plain(3).await;
    let valid = deployment.runners[0].entry();
    // Without `born` an entry under another id looks like that of a runner that does not report it.
    let entries =
        invalid_entries(&valid).into_iter().filter(|e| e["born"].is_u64() || !e["seq"].is_u64());
    for (n, entry) in entries.enumerate() {
        deployment.store.put("servers", &format!("x-{n}"), &entry);
    }
    let long = "n".repeat(300);
    for name in ["", " ", "../..", "a b%", "\u{1F41F}", &long] {
        deployment.store.put("servers", name, &json!({"state": "ready"}));
    }
    deployment = deployment.with_nodes(1).await;
    assert_eq!(deployment.send_default("/board/a", "r1").await.status, Some(StatusCode::OK));
}

/// Guards against an order to a runner that may still carry out another one. An order gets no
/// answer; the runner restarts under the same id, with its order count at zero again. The
/// unanswered order must outlast the incarnation that it was for.
#[tokio::test]
async fn order_in_doubt_outlasts_incarnation() {
    let mut deployment = Deployment::new().await.with_engines(1, 5).await.with_nodes(1).await;
    for runner in &deployment.runners {
        runner.set_faults(Faults { drop_order_response: true, ..Faults::default() });
    }
    let headers =
        [("model", "m"), ("token-count", "90000,80"), ("prompt-prefix", "5c1e:40000,91bd:50000")];
    wait_until("an order is given", async || {
        for n in 0..6 {
            let name = format!("big-{n}");
            deployment
                .send(0, &RequestSpec { headers: &headers, ..RequestSpec::new("/count/a", &name) })
                .await;
        }
        deployment.runners.iter().any(|runner| !runner.orders().is_empty())
    })
    .await;
    let at = deployment
        .runners
        .iter()
        .position(|r| !r.orders().is_empty())
        .expect("a runner has an order");
    restart(&mut deployment, at).await;
    // Long enough for several evaluations of the demand, and shorter than an order may stay in
    // doubt.
    let until = tokio::time::Instant::now() + Duration::from_secs(3);
    for n in 0.. {
        if tokio::time::Instant::now() > until {
            break;
        }
        let name = format!("more-{n}");
        let request = RequestSpec { headers: &headers, ..RequestSpec::new("/count/a", &name) };
        deployment.send(0, &request).await;
    }
    assert_eq!(deployment.runners[at].orders(), []);
}

/// Guards against nodes that never become ready. A deployment starts before its runners, and three
/// nodes read an empty register from the store. If an empty register does not count as newer than
/// none, the other nodes never receive it.
#[tokio::test]
async fn nodes_without_runners_all_ready() {
    let deployment = Deployment::new().await.with_nodes(5).await;
    for node in &deployment.nodes {
        assert!(node.shared.is_ready());
    }
}

/// Guards against requests to a runner seconds after it said that it leaves. During a store outage
/// a runner says that it leaves and its entry is removed; one answer of the store reports both. If
/// only the removal is applied, the runner is doubted like one whose entry only lapsed, and got a
/// request 5 s later.
#[tokio::test]
async fn difference_leaving_and_gone_together_not_doubted() {
    let deployment = Deployment::new().await.with_plain(2).await.with_nodes(1).await;
    let shared = &deployment.nodes[0].shared;
    let runner = &deployment.runners[0];
    let mut entry = runner.entry();
    entry["state"] = json!("draining");
    let leaves = Object {
        name: runner.id.clone().into(),
        at: Point::new(shared.era_tracker.era(), 1_000),
        content: entry.to_string().into(),
    };
    let changes = vec![Change::Put(leaves), Change::Removed(runner.id.clone().into())];
    let doubt = Some(shared.clock.now() + Duration::from_secs(60));
    let as_of = Point::new(shared.era_tracker.era(), 1_001);
    apply_difference(shared, &difference(changes, as_of), doubt, "store").expect("from the store");
    assert!(shared.register().get(&id(runner)).is_none(), "it has said that it leaves");
}
