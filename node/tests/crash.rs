//! One request ended 22 runners of a deployment with nine. It came again and again, at any node, with
//! the same path and body; whichever runner began to run it ended and was back three seconds later.
//! Each node took each end for the runner's failure, and sent the request on to the next runner
//! within the attempt; an attempt that came to another node started from nothing. Nothing but the
//! request was under way with its answer begun, and without an event of it, at more than one of the 14
//! ends that the nodes wrote down:
//!
//!     stream broke off  i-8a39f9ed86  events 0  "error reading a body from connection"
//!     placed            attempt 3, decode i-921bb7ef81
//!     stream broke off  i-921bb7ef81  events 0  "error reading a body from connection"
//!     request refused   broken, 502, tries 4

use std::time::Duration;

use bytes::Bytes;
use http::{Method, StatusCode};
use sardinepick_lib::fleet::runner::State;
use sardinepick_lib::id::RunnerId;
use sardinepick_node::serve::quarantine;
use sardinepick_node::serve::run::Running;
use sardinepick_platform::quarantine::QUARANTINE_KIND;
use sardinepick_testutils::cluster::wait_until;
use sardinepick_testutils::fleet::caller::{Ask, Told};
use sardinepick_testutils::fleet::deployment::Deployment;
use sardinepick_testutils::fleet::runner::Faults;
use sardinepick_testutils::fleet::supervised::Supervised;

const GENERATION: [(&str, &str); 3] =
    [("model", "m"), ("token-count", "1460,80"), ("prompt-prefix", "5c1e:800,91bd:410,e440:250")];
/// How long an ended runner is away.
const AWAY: Duration = Duration::from_millis(300);
/// How many ends of runners it takes to know what a request does.
const ENDS: usize = 3;

fn ending() -> Bytes {
    Bytes::from_static(b"a brief that no engine survives")
}

fn ask<'a>(path: &'a str, id: &'a str, body: &Bytes) -> Ask<'a> {
    let headers: &[(&str, &str)] = if path.starts_with("/count") { &GENERATION } else { &[] };
    Ask { headers, body: body.clone(), ..Ask::new(path, id) }
}

/// Sends the request so often, at one node after the other.
async fn repeat(set: &Deployment, path: &str, times: usize) -> Vec<Told> {
    let mut all = Vec::new();
    for n in 0..times {
        let id = format!("again-{n}");
        all.push(set.send(n % set.nodes.len(), &ask(path, &id, &ending())).await);
    }
    all
}

/// Others' requests go on, with bodies of their own and at all nodes.
async fn others_served(set: &Deployment, path: &str) {
    for n in 0..set.nodes.len() * 2 {
        wait_until("another request is served", async || {
            let id = format!("other-{n}");
            let told =
                set.send(n % set.nodes.len(), &ask(path, &id, &Bytes::from(id.clone()))).await;
            told.status == Some(StatusCode::OK) && told.whole
        })
        .await;
    }
}

async fn ends_at_most_three(set: &Deployment, path: &str) {
    let told = repeat(set, path, 12).await;
    assert_eq!(set.ended_under(&ending()), ENDS, "runners ended");
    let last = told.last().expect("it was sent");
    assert_eq!(last.status, Some(StatusCode::BAD_REQUEST), "it is not to come back");
    assert_eq!(last.header("retry-after"), None);
    others_served(set, path).await;
}

#[tokio::test]
async fn stream_repeated_at_all_nodes_ends_three_runners() {
    let mut set = Deployment::new().await.with_engines(2, 0).await;
    set.add_supervised(Some("decode"), 6, &ending(), AWAY).await;
    let set = set.with_nodes(3).await;
    ends_at_most_three(&set, "/count/a").await;
}

#[tokio::test]
async fn plain_repeated_at_all_nodes_ends_three_runners() {
    let mut set = Deployment::new().await;
    set.add_supervised(None, 6, &ending(), AWAY).await;
    let set = set.with_nodes(3).await;
    ends_at_most_three(&set, "/board/a").await;
}

/// The prompt is read by one runner for another: it is the reader that ends.
#[tokio::test]
async fn reading_ends_three_runners() {
    let mut set = Deployment::new().await.with_engines(0, 2).await;
    set.add_supervised(Some("prefill"), 6, &ending(), AWAY).await;
    let set = set.with_nodes(2).await;
    repeat(&set, "/count/a", 12).await;
    assert!(set.ended_under(&ending()) <= ENDS, "a prompt may be read where it is to run, too");
    others_served(&set, "/count/a").await;
}

/// A node that hears no other counts by itself.
#[tokio::test]
async fn node_alone_ends_three_runners() {
    let mut set = Deployment::new().await;
    set.add_supervised(None, 6, &ending(), AWAY).await;
    let set = set.with_nodes(1).await;
    ends_at_most_three(&set, "/board/a").await;
}

/// Callers that send it side by side, at all nodes: before the first runner has ended nobody can know.
/// After that it is not sent on, and what comes later ends none.
#[tokio::test]
async fn repeats_side_by_side_end_no_more_than_were_under_way() {
    let mut set = Deployment::new().await;
    set.add_supervised(None, 12, &ending(), AWAY).await;
    let set = set.with_nodes(3).await;
    let side_by_side: Vec<_> = (0..6)
        .map(|n| {
            let (caller, front) = (set.caller.clone(), set.front(n % 3));
            tokio::spawn(async move {
                let id = format!("beside-{n}");
                caller.send(front, &ask("/board/a", &id, &ending())).await
            })
        })
        .collect();
    for told in side_by_side {
        told.await.expect("it ends");
    }
    let ended = set.ended_under(&ending());
    assert!(ended < 6 + ENDS, "{ended} runners ended");
    repeat(&set, "/board/a", 12).await;
    assert_eq!(set.ended_under(&ending()), ended, "what is known holds at all nodes");
    others_served(&set, "/board/a").await;
}

/// A node that starts later hears of it from the others, and refuses it at once.
#[tokio::test]
async fn node_started_later_knows() {
    let mut set = Deployment::new().await;
    set.add_supervised(None, 6, &ending(), AWAY).await;
    let mut set = set.with_nodes(2).await;
    ends_at_most_three(&set, "/board/a").await;
    let seeds = vec![set.nodes[0].shared.me.peer];
    set.add_node("edge-late", seeds).await;
    set.wait_ready().await;
    wait_until("it refuses", async || {
        let told = set.send(2, &ask("/board/a", "late", &ending())).await;
        told.status == Some(StatusCode::BAD_REQUEST)
    })
    .await;
    assert_eq!(set.ended_under(&ending()), ENDS);
}

/// Once what was wrong with the runners is mended an operator has it run again, without a restart.
#[tokio::test]
async fn released_by_operator_runs_again() {
    let mut set = Deployment::new().await;
    set.add_supervised(None, 6, &ending(), AWAY).await;
    let set = set.with_nodes(2).await;
    ends_at_most_three(&set, "/board/a").await;
    let node = &set.nodes[0].shared;
    let state = set.caller.send(node.settings.metrics, &state()).await.text();
    let state: serde_json::Value = serde_json::from_str(&state).expect("it is JSON");
    assert_eq!(state["quarantine"]["requests"][0]["ends"], 3);
    let fingerprint = confirmed(&set.nodes[0]).expect("it is refused");
    for life in set.supervised.iter().flat_map(Supervised::lives) {
        life.end_under(Bytes::new());
    }
    let path = format!("/quarantine/{fingerprint}");
    let release = Ask { method: Method::DELETE, ..Ask::new(&path, "operator") };
    let told = set.caller.send(node.settings.metrics, &release).await;
    assert_eq!(told.status, Some(StatusCode::OK));
    for at in 0..2 {
        wait_until("it runs at all nodes", async || {
            let id = format!("released-{at}");
            let told = set.send(at, &ask("/board/a", &id, &ending())).await;
            told.status == Some(StatusCode::OK)
        })
        .await;
    }
    let again = set.caller.send(node.settings.metrics, &release).await;
    assert_eq!(again.status, Some(StatusCode::NOT_FOUND), "there is nothing to release");
    let wrong = Ask { path: "/quarantine/egg", ..release };
    let told = set.caller.send(node.settings.metrics, &wrong).await;
    assert_eq!(told.status, Some(StatusCode::BAD_REQUEST));
}

fn state<'a>() -> Ask<'a> {
    Ask { method: Method::GET, ..Ask::new("/state", "state") }
}

/// How often nodes noted that of a request that is not run.
fn count(set: &Deployment, event: &str) -> u64 {
    let of = |node: &Running| node.shared.metrics.quarantine.with_label_values(&[event]).get();
    set.nodes.iter().map(of).sum()
}

/// Streams that runners break off, with their processes still there, say nothing against a request.
#[tokio::test]
async fn streams_broken_off_by_living_runners_not_counted() {
    let set = Deployment::new().await.with_engines(0, 5).await.with_nodes(2).await;
    for runner in &set.runners {
        runner.set_faults(Faults { cut_after: Some(0), ..Faults::default() });
    }
    repeat(&set, "/count/a", 6).await;
    for runner in &set.runners {
        runner.set_faults(Faults::default());
    }
    let told = set.send(0, &ask("/count/a", "last", &ending())).await;
    assert_eq!((told.status, told.whole), (Some(StatusCode::OK), true));
    assert_eq!(count(&set, "proposed"), 0);
}

/// Runners that have said that they leave end as they were to, also under a request.
#[tokio::test]
async fn runners_that_leave_not_counted() {
    let set = Deployment::new().await.with_plain(4).await.with_nodes(1).await;
    for runner in &set.runners {
        runner.set_faults(Faults { hangs: true, ..Faults::default() });
    }
    let (caller, front) = (set.caller.clone(), set.front(0));
    let asking =
        tokio::spawn(async move { caller.send(front, &ask("/board/a", "r1", &ending())).await });
    for _ in 0..3 {
        end_whoever_runs(&set, true).await;
    }
    asking.await.expect("it ends");
    for runner in &set.runners {
        runner.set_faults(Faults::default());
    }
    let told = set.send(0, &ask("/board/a", "r2", &ending())).await;
    assert_eq!(told.status, Some(StatusCode::OK));
    assert_eq!(count(&set, "proposed"), 0);
}

/// Waits until a runner runs something, and ends it; as one that has said so before, if `leaves`.
async fn end_whoever_runs(set: &Deployment, leaves: bool) {
    let busy = || set.runners.iter().find(|runner| runner.running() > 0);
    wait_until("a runner runs it", async || busy().is_some()).await;
    let Some(runner) = busy() else { return };
    if leaves {
        runner.drain();
        wait_until("the nodes know that it leaves", async || {
            let id: RunnerId = runner.id.parse().expect("an id");
            let leaves = |node: &Running| {
                let register = node.shared.register();
                register.get(&id).is_none_or(|r| r.entry.state == State::Draining)
            };
            set.nodes.iter().all(leaves)
        })
        .await;
    }
    runner.kill();
    wait_until("it has ended", async || runner.running() == 0).await;
}

/// Many callers send the same request all day, so it is there whenever a runner ends. It is answered
/// in between, at whichever node, and is not refused.
#[tokio::test]
async fn request_of_many_callers_not_refused() {
    let set = Deployment::new().await.with_plain(6).await.with_nodes(2).await;
    hang_all(&set, true);
    let (caller, front) = (set.caller.clone(), set.front(0));
    let asking =
        tokio::spawn(async move { caller.send(front, &ask("/board/a", "m1", &ending())).await });
    end_whoever_runs(&set, false).await;
    // Another caller is answered at the other node, by whoever has nothing under way.
    hang_all(&set, false);
    wait_until("another caller is answered", async || {
        let told = set.send(1, &ask("/board/a", "m2", &ending())).await;
        told.status == Some(StatusCode::OK)
    })
    .await;
    hang_all(&set, true);
    let told = asking.await.expect("it ends");
    for n in 0..2 {
        let id = format!("m3-{n}");
        let (caller, front) = (set.caller.clone(), set.front(0));
        tokio::spawn(async move { caller.send(front, &ask("/board/a", &id, &ending())).await });
        end_whoever_runs(&set, false).await;
    }
    wait_until("it is proposed and cleared", async || count(&set, "cleared") > 0).await;
    assert_eq!(count(&set, "confirmed"), 0, "{told:?}");
    hang_all(&set, false);
    for n in 0..4 {
        wait_until("it is answered", async || {
            let id = format!("m4-{n}");
            let told = set.send(n % 2, &ask("/board/a", &id, &ending())).await;
            told.status == Some(StatusCode::OK)
        })
        .await;
    }
}

fn hang_all(set: &Deployment, hangs: bool) {
    for runner in &set.runners {
        runner.set_faults(Faults { hangs, ..Faults::default() });
    }
}

/// All nodes start again at once, and none is left that could tell the others: the store has kept it.
/// The nodes that start anew are another deployment's here, so that no task of the former ones is left.
#[tokio::test]
async fn nodes_all_anew_refuse_it() {
    let mut former = Deployment::new().await;
    former.add_supervised(None, 6, &ending(), AWAY).await;
    let former = former.with_nodes(2).await;
    ends_at_most_three(&former, "/board/a").await;
    wait_until("the store keeps it", async || former.store.count(QUARANTINE_KIND) == 1).await;
    let name = confirmed(&former.nodes[0]).expect("it is refused");
    let kept = former.store.get(QUARANTINE_KIND, &name).expect("it is kept by its fingerprint");

    let mut set = Deployment::new().await;
    set.add_supervised(None, 6, &ending(), AWAY).await;
    set.store.put(QUARANTINE_KIND, &name, &kept);
    let set = set.with_nodes(2).await;
    let all_know = async || set.nodes.iter().all(|n| confirmed(n).as_ref() == Some(&name));
    wait_until("all know it", all_know).await;
    repeat(&set, "/board/a", 4).await;
    assert_eq!(set.ended_under(&ending()), 0);
    // What is released is kept no longer.
    let fingerprint = name.parse().expect("it is one");
    assert!(quarantine::release(&set.nodes[1].shared, &fingerprint));
    wait_until("the store forgets it", async || set.store.count(QUARANTINE_KIND) == 0).await;
}

/// The fingerprint of the request that a node refuses.
fn confirmed(node: &Running) -> Option<String> {
    let state = quarantine::state(&node.shared);
    let line = state["requests"].as_array()?.iter().find(|line| line["stage"] == "confirmed")?;
    line["fingerprint"].as_str().map(str::to_owned)
}

/// Guards against a request that is not run and that the store, back from a copy, has forgotten: all
/// nodes that start anew would run it again.
#[tokio::test]
async fn quarantine_copy_lacks_request_written_again() {
    let mut set = Deployment::new().await;
    set.add_supervised(None, 6, &ending(), AWAY).await;
    let set = set.with_nodes(3).await;
    let copy = set.store.copy();
    ends_at_most_three(&set, "/board/a").await;
    wait_until("the store keeps it", async || set.store.count(QUARANTINE_KIND) == 1).await;
    let lost = set.store.come_back(&copy);
    assert_eq!(set.store.count(QUARANTINE_KIND), 0);
    set.store.write_again(&lost);
    wait_until("the store has it again", async || set.store.count(QUARANTINE_KIND) == 1).await;
}
