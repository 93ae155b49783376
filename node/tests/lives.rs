//! Runners that start again under their ids, and entries of other writers in the register.

use std::time::Duration;

use http::StatusCode;
use sardinepick_lib::fleet::cache::Chain;
use sardinepick_lib::history::Point;
use sardinepick_lib::id::RunnerId;
use sardinepick_node::serve::follow::{difference, take_difference};
use sardinepick_node::serve::shared::Shared;
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

async fn start_again(set: &mut Deployment, at: usize) {
    let address = free_address(own_ip());
    let reborn = set.runners[at].restart(address).await.expect("a free address");
    set.runners[at] = reborn;
    let (node, runner) = (&set.nodes[0].shared, &set.runners[at]);
    wait_until("the node knows the new life", async || address_known(node, runner)).await;
}

/// Symptom: requests are sent where their prompt is believed to be kept, and it is read again there.
/// Sequence: a runner reads a prompt, dies, and starts again under its id. Cause: what was believed
/// of it went by its id alone.
#[tokio::test]
async fn runner_started_again_keeps_nothing() {
    let mut set = Deployment::new().await.with_engines(1, 2).await.with_nodes(1).await;
    let ask = RequestSpec { headers: &GENERATION, ..RequestSpec::new("/count/a", "s1") };
    assert_eq!(set.send(0, &ask).await.status, Some(StatusCode::OK));
    let shared = set.nodes[0].shared.clone();
    let kept = |runner: &Runner| shared.register().get(&id(runner)).map(|r| r.cache.tokens());
    assert!(kept(&set.runners[0]).is_some_and(|tokens| tokens >= 1_460));
    start_again(&mut set, 0).await;
    assert_eq!(kept(&set.runners[0]), Some(0));
    let ask = RequestSpec { headers: &GENERATION, ..RequestSpec::new("/count/a", "s2") };
    assert_eq!(set.send(0, &ask).await.status, Some(StatusCode::OK));
}

/// Symptom: a runner that has just started again is left alone, or believed to be idle while it
/// works. Sequence: requests hang at its former life and break off when it dies; they end after the
/// new life is known. Cause: their ends and failures were counted to the new life.
#[tokio::test]
async fn former_life_ends_nothing_of_the_new() {
    let mut set = Deployment::new().await.with_plain(1).await.with_nodes(1).await;
    set.runners[0].set_faults(Faults { hang: true, ..Faults::default() });
    let shared = set.nodes[0].shared.clone();
    let former = set.runners[0].clone();
    let front = set.front(0);
    let asks: Vec<_> = (0..4)
        .map(|n| {
            let caller = set.caller.clone();
            let name = format!("egg-{n}");
            tokio::spawn(async move {
                caller.send(front, &RequestSpec::new("/eggs/order", &name)).await
            })
        })
        .collect();
    wait_until("they hang", async || former.received().len() == 4).await;
    // The entry of the new life comes before the connections to the former one break off.
    let address = free_address(own_ip());
    let mut entry = former.entry();
    entry["born"] = json!(entry["born"].as_u64().expect("a number") + 1);
    entry["address"] = json!(address.to_string());
    set.store.put("servers", &former.id, &entry);
    wait_until("the node knows the new life", async || {
        shared.register().get(&id(&former)).is_some_and(|r| r.entry.address == address)
    })
    .await;
    set.runners[0] = former.restart(address).await.expect("a free address");
    for ask in asks {
        let told = ask.await.expect("it ends");
        assert_eq!(told.status, Some(StatusCode::BAD_GATEWAY), "what may have run is not denied");
    }
    {
        let register = shared.register();
        let runner = register.get(&id(&former)).expect("known");
        assert!(runner.own.is_empty() && runner.health.failing() == 0.0);
    }
    assert_eq!(set.send_default("/eggs/order", "egg-9").await.status, Some(StatusCode::OK));
    assert_eq!(set.runners[0].run_count("egg-9"), 1);
}

/// Symptom: requests go to an address where nobody is. Sequence: a runner starts again elsewhere; a
/// write of its former life arrives after that. Cause: the latest write was taken for the latest
/// life.
#[tokio::test]
async fn former_life_late_entry_changes_nothing() {
    let mut set = Deployment::new().await.with_plain(2).await.with_nodes(1).await;
    let late = set.runners[0].entry();
    start_again(&mut set, 0).await;
    set.store.put("servers", &set.runners[0].id, &late);
    // A change that the node takes after the late one.
    set.runners[1].drain();
    let shared = set.nodes[0].shared.clone();
    wait_until("the node has seen both", async || {
        let now = shared.clock.now();
        shared.register().get(&id(&set.runners[1])).is_some_and(|r| !r.takes_work(now))
    })
    .await;
    assert!(address_known(&shared, &set.runners[0]));
    for n in 0..4 {
        let name = format!("r{n}");
        assert_eq!(set.send_default("/board/a", &name).await.status, Some(StatusCode::OK));
        assert_eq!(set.runners[0].run_count(&name), 1);
    }
}

/// Symptom: for seconds after all nodes have started again, long prompts are read whole or refused.
/// Sequence: a runner reads a prompt; all nodes end, and others start in their places. Cause: what
/// runners keep was known to the nodes that ended alone.
#[tokio::test]
async fn nodes_all_anew_kept_prompts_known() {
    let mut set = Deployment::new().await.with_engines(1, 2).await.with_nodes(1).await;
    let headers =
        [("model", "m"), ("token-count", "9400,80"), ("prompt-prefix", "5c1e:9000,e440:400")];
    let ask = RequestSpec { headers: &headers, ..RequestSpec::new("/count/a", "s1") };
    assert_eq!(set.send(0, &ask).await.status, Some(StatusCode::OK));
    set.nodes.remove(0).stop().await;
    set.add_node("edge-7", Vec::new()).await;
    let shared = set.nodes[0].shared.clone();
    let chain = Chain::new("m", [("5c1e", 9_000), ("other", 10)].into_iter());
    wait_until("the new node knows what is kept", async || {
        let register = shared.register();
        let runner = register.get(&id(&set.runners[0]));
        runner.is_some_and(|r| r.cache.fetchable(&chain) == 9_000)
    })
    .await;
}

/// Entries that a runner does not write, each from a sound one by one change.
fn foreign(sound: &Value) -> Vec<Value> {
    let changed = |field: &str, value: Value| {
        let mut entry = sound.clone();
        entry[field] = value;
        entry
    };
    let without = |field: &str| {
        let mut entry = sound.clone();
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

/// Symptom: a runner is used whose entry another writer has replaced, or the sound runners beside it
/// are not. Sequence: something that is no runner's entry is written under its id. Cause: what could
/// not be read was dropped, and what was known before it stayed.
#[tokio::test]
async fn entry_of_other_writer_names_no_runner() {
    let set = Deployment::new().await.with_plain(2).await.with_nodes(1).await;
    let shared = set.nodes[0].shared.clone();
    let taken = set.runners[0].clone();
    for (n, entry) in foreign(&taken.entry()).into_iter().enumerate() {
        set.store.put("servers", &taken.id, &entry);
        wait_until("the runner is not used", async || shared.register().get(&id(&taken)).is_none())
            .await;
        let name = format!("r{n}");
        assert_eq!(
            set.send_default("/board/a", &name).await.status,
            Some(StatusCode::OK),
            "{entry:.80}"
        );
        assert_eq!(set.runners[1].run_count(&name), 1);
        taken.write_entry();
        wait_until("its own entry is taken again", async || address_known(&shared, &taken)).await;
    }
    let text = String::from_utf8(shared.metrics.text()).expect("metrics are text");
    assert!(text.contains(r#"sardinepick_foreign_objects_total{reason="state",what="runner"} 1"#));
}

/// The same for a node that reads the whole list, among entries under names that are no ids.
#[tokio::test]
async fn list_with_other_writers_sound_ones_hold() {
    let mut set = Deployment::new().await.with_plain(3).await;
    let sound = set.runners[0].entry();
    // Without its birth an entry under another id is as good as one of a runner that does not tell.
    let entries = foreign(&sound).into_iter().filter(|e| e["born"].is_u64() || !e["seq"].is_u64());
    for (n, entry) in entries.enumerate() {
        set.store.put("servers", &format!("x-{n}"), &entry);
    }
    let long = "n".repeat(300);
    for name in ["", " ", "../..", "a b%", "\u{1F41F}", &long] {
        set.store.put("servers", name, &json!({"state": "ready"}));
    }
    set = set.with_nodes(1).await;
    assert_eq!(set.send_default("/board/a", "r1").await.status, Some(StatusCode::OK));
}

/// Symptom: an order is given to a runner while another may still be carried out there. Sequence: an
/// order gets no answer; the runner starts again under its id, with its count of orders at zero
/// again. Cause: the order in doubt was forgotten with the life that it was for.
#[tokio::test]
async fn order_in_doubt_outlasts_the_life() {
    let mut set = Deployment::new().await.with_engines(1, 5).await.with_nodes(1).await;
    for runner in &set.runners {
        runner.set_faults(Faults { drop_order_response: true, ..Faults::default() });
    }
    let headers =
        [("model", "m"), ("token-count", "90000,80"), ("prompt-prefix", "5c1e:40000,91bd:50000")];
    wait_until("an order is given", async || {
        for n in 0..6 {
            let name = format!("big-{n}");
            set.send(0, &RequestSpec { headers: &headers, ..RequestSpec::new("/count/a", &name) })
                .await;
        }
        set.runners.iter().any(|runner| !runner.orders().is_empty())
    })
    .await;
    let at = set.runners.iter().position(|r| !r.orders().is_empty()).expect("one has an order");
    start_again(&mut set, at).await;
    // Long enough for several looks at the demand, and shorter than an order may be in doubt.
    let until = tokio::time::Instant::now() + Duration::from_secs(3);
    for n in 0.. {
        if tokio::time::Instant::now() > until {
            break;
        }
        let name = format!("more-{n}");
        let ask = RequestSpec { headers: &headers, ..RequestSpec::new("/count/a", &name) };
        set.send(0, &ask).await;
    }
    assert_eq!(set.runners[at].orders(), []);
}

/// Symptom: most nodes do not get ready. Sequence: a deployment starts before its runners do; three
/// nodes read an empty register from the store. Cause: an empty register was as new as none, so the
/// others were not told of it.
#[tokio::test]
async fn nodes_without_runners_all_ready() {
    let set = Deployment::new().await.with_nodes(5).await;
    for node in &set.nodes {
        assert!(node.shared.is_ready());
    }
}

/// Symptom: a request reaches a runner 5 s after it said that it leaves. Sequence: the store was away;
/// a runner says that it leaves and its entry is removed, and one answer of the store tells both. Cause:
/// of the two the last alone was taken, and the runner doubted, as one whose entry only lapsed.
///
///     11.9090 i-00d25cd50b says that it leaves
///     11.9149 spaarne-30  runner's entry lapsed while the store was away  i-00d25cd50b
///     16.9450 i-00d25cd50b gets a request from hofvijver-7
#[tokio::test]
async fn difference_leaves_and_gone_together_not_doubted() {
    let set = Deployment::new().await.with_plain(2).await.with_nodes(1).await;
    let shared = &set.nodes[0].shared;
    let runner = &set.runners[0];
    let mut entry = runner.entry();
    entry["state"] = json!("draining");
    let leaves = Object {
        name: runner.id.clone().into(),
        at: Point::new(shared.history.era(), 1_000),
        content: entry.to_string().into(),
    };
    let changes = vec![Change::Put(leaves), Change::Gone(runner.id.clone().into())];
    let doubt = Some(shared.clock.now() + Duration::from_secs(60));
    let as_of = Point::new(shared.history.era(), 1_001);
    take_difference(shared, difference(changes, as_of), doubt, "store");
    assert!(shared.register().get(&id(runner)).is_none(), "it has said that it leaves");
}
