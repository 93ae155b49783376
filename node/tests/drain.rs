//! Runners that say in their answers that they leave, while the register cannot.

use std::time::Duration;

use http::StatusCode;
use sardinepick_testutils::cluster::{any_address, wait_until};
use sardinepick_testutils::fleet::caller::{Ask, Caller, Told};
use sardinepick_testutils::fleet::deployment::Deployment;
use sardinepick_testutils::fleet::runner::Faults;
use sardinepick_testutils::fleet::signal::Signals;
use sardinepick_testutils::fleet::store::Fault;
use tokio::time::sleep;

const GENERATION: [(&str, &str); 3] =
    [("model", "m"), ("token-count", "1460,80"), ("prompt-prefix", "5c1e:800,91bd:410,e440:250")];

fn generation(id: &str) -> Ask<'_> {
    Ask { headers: &GENERATION, ..Ask::new("/count/a", id) }
}

/// Asks a node until an answer says that a runner leaves; gives how many requests that runner has got.
async fn hear(set: &Deployment, ask: impl Fn(&str) -> Ask<'_>, leaving: usize) -> usize {
    set.store.set_fault(Fault::Silent);
    set.runners[leaving].set_signals(Signals::leaving());
    for n in 0..200 {
        let id = format!("h{n}");
        let told = set.send(0, &ask(&id)).await;
        assert_eq!(told.status, Some(StatusCode::OK), "{id}");
        if told.header("server-leaving").is_some() {
            return set.runners[leaving].seen().len();
        }
    }
    panic!("the runner that leaves is never used");
}

/// Has the engine that runs generations now say that it leaves, until it is heard; gives which it is.
async fn hear_decode_runner(set: &Deployment) -> usize {
    for n in 0..200 {
        let id = format!("h{n}");
        let told = set.send(0, &generation(&id)).await;
        assert!(is_answered(&told));
        let at = (1..set.runners.len()).find(|at| set.runners[*at].ran(&id) == 1);
        let at = at.expect("an engine ran it");
        if told.header("server-leaving").is_some() {
            return at;
        }
        for runner in &set.runners {
            runner.set_signals(Signals::none());
        }
        set.runners[at].set_signals(Signals::leaving());
    }
    panic!("the runner that leaves is never used");
}

fn is_answered(told: &Told) -> bool {
    told.status == Some(StatusCode::OK) && told.whole
}

/// Guards against plain requests to a runner that has said in an answer that it leaves.
#[tokio::test]
async fn plain_runner_leaving_by_answer_gets_nothing() {
    let set = Deployment::new().await.with_plain(2).await.with_nodes(1).await;
    let takes = Duration::from_millis(20);
    set.runners[1].set_faults(Faults { takes, ..Faults::default() });
    let before = hear(&set, |id| Ask::new("/board/a", id), 0).await;
    for n in 0..30 {
        assert!(is_answered(&set.ask("/board/a", &format!("r{n}")).await));
    }
    assert_eq!(set.runners[0].seen().len(), before);
}

/// Guards against whole runs and second stages at an engine that has said in an answer that it leaves.
#[tokio::test]
async fn decode_runner_leaving_by_answer_gets_nothing() {
    let set = Deployment::new().await.with_engines(1, 2).await.with_nodes(1).await;
    let before = hear(&set, generation, 1).await;
    for n in 0..30 {
        assert!(is_answered(&set.send(0, &generation(&format!("r{n}"))).await));
    }
    assert_eq!(set.runners[1].seen().len(), before);
}

/// Guards against a second stage at an engine that says that it leaves while the prompt is read.
#[tokio::test]
async fn second_stage_runner_leaving_meanwhile_goes_elsewhere() {
    let set = Deployment::new().await.with_engines(1, 2).await.with_nodes(1).await;
    let takes = Duration::from_millis(400);
    set.runners[0].set_faults(Faults { takes, ..Faults::default() });
    set.store.set_fault(Fault::Silent);
    let asked: Vec<_> = (0..12)
        .map(|n| {
            let front = set.front(0);
            tokio::spawn(async move {
                let id = format!("r{n}");
                Caller::default().send(front, &generation(&id)).await
            })
        })
        .collect();
    sleep(takes / 2).await;
    // Those that come now are read at once.
    set.runners[0].set_faults(Faults::default());
    let leaving = hear_decode_runner(&set).await;
    let before = set.runners[leaving].seen().len();
    for one in asked {
        assert!(is_answered(&one.await.expect("it ends")));
    }
    assert_eq!(set.runners[leaving].seen().len(), before);
}

/// Guards against readings of prompts at an engine that has said in an answer that it leaves.
#[tokio::test]
async fn prefill_runner_leaving_by_answer_gets_nothing() {
    let set = Deployment::new().await.with_engines(2, 1).await.with_nodes(1).await;
    set.store.set_fault(Fault::Silent);
    let used = async || {
        for n in 0..10 {
            assert!(is_answered(&set.send(0, &generation(&format!("u{n}"))).await));
        }
        [0, 1].map(|at: usize| set.runners[at].seen().len())
    };
    let [first, _] = used().await;
    let leaving = usize::from(first == 0);
    set.runners[leaving].set_signals(Signals::leaving());
    let before = used().await[leaving];
    let after = used().await[leaving];
    assert_eq!(after, before);
}

/// Guards against another node's requests to a runner that one node has heard of as leaving.
#[tokio::test]
async fn runner_leaving_by_answer_all_nodes_hear() {
    let mut set = Deployment::new().await.with_plain(2).await.with_nodes(3).await;
    let takes = Duration::from_millis(20);
    set.runners[1].set_faults(Faults { takes, ..Faults::default() });
    let before = hear(&set, |id| Ask::new("/board/a", id), 0).await;
    sleep(Duration::from_millis(200)).await;
    let seeds = set.nodes.iter().map(|node| node.shared.me.peer).collect();
    set.add_node("edge-late", seeds).await;
    set.wait_ready().await;
    for n in 0..40 {
        assert!(is_answered(&set.send(n % 4, &Ask::new("/board/a", &format!("r{n}"))).await));
    }
    assert_eq!(set.runners[0].seen().len(), before);
}

/// Guards against requests that wait, or go to the runner that leaves, where it is the only one.
#[tokio::test]
async fn only_runner_leaving_by_answer_refused_at_once() {
    let set = Deployment::new().await.with_plain(1).await.with_nodes(1).await;
    let before = hear(&set, |id| Ask::new("/board/a", id), 0).await;
    for n in 0..5 {
        let told = set.ask("/board/a", &format!("r{n}")).await;
        assert_eq!(told.status, Some(StatusCode::SERVICE_UNAVAILABLE));
        assert!(told.header("retry-after").is_some());
        assert!(told.took < Duration::from_secs(1));
    }
    assert_eq!(set.runners[0].seen().len(), before);
}

/// Guards against a runner that is not used since its former life has left.
#[tokio::test]
async fn runner_started_again_after_leaving_used() {
    let mut set = Deployment::new().await.with_plain(1).await.with_nodes(1).await;
    hear(&set, |id| Ask::new("/board/a", id), 0).await;
    set.store.set_fault(Fault::None);
    set.runners[0] = set.runners[0].start_again(any_address()).await.expect("a free address");
    wait_until("its new life is used", async || is_answered(&set.ask("/board/a", "r").await)).await;
}
