//! A store that comes back from a copy: revisions go back and are given out again.

use sardinepick_lib::id::RunnerId;
use sardinepick_testutils::cluster::wait_until;
use sardinepick_testutils::fleet::caller::Ask;
use sardinepick_testutils::fleet::deployment::Deployment;
use sardinepick_testutils::fleet::runner::Runner;
use sardinepick_testutils::fleet::store::Fault;

/// More nodes than follow the store, so that some learn of it from others alone.
const NODES: usize = 6;
/// How often a runner writes its entry in the time that the copy lacks.
const WRITES: usize = 10;

fn id(runner: &Runner) -> RunnerId {
    runner.id.parse().expect("an id")
}

/// A deployment with a copy of its store, after which the runner at `writer` has written its entry
/// often, as all nodes know; then the store has come back from the copy.
async fn come_back(writer: usize) -> Deployment {
    let set = Deployment::new().await.with_plain(3).await.with_nodes(NODES).await;
    let copy = set.store.copy();
    for _ in 0..WRITES {
        set.runners[writer].write_entry();
    }
    let written = set.store.revision();
    wait_until("all nodes know what was written", async || {
        set.nodes.iter().all(|node| {
            let register = node.shared.register();
            let runner = register.get(&id(&set.runners[writer])).expect("it is known");
            runner.entry.revision.0 == written
        })
    })
    .await;
    set.store.set_fault(Fault::Reset);
    let lost = set.store.come_back(&copy);
    set.store.set_fault(Fault::None);
    set.store.write_again(&lost);
    set
}

async fn assert_leaving_known(set: &Deployment, runner: &Runner) {
    runner.drain();
    wait_until("all nodes know that it leaves", async || {
        set.nodes.iter().all(|node| {
            let register = node.shared.register();
            register.get(&id(runner)).is_none_or(|known| known.is_leaving())
        })
    })
    .await;
    let before = runner.seen().len();
    for n in 0..NODES * 4 {
        set.send(n % NODES, &Ask::new("/board/a", &format!("r{n}"))).await;
    }
    assert_eq!(runner.seen().len(), before);
}

/// Guards against a runner's leaving that nodes which do not follow the store are not told of.
#[tokio::test]
async fn leaving_under_earlier_revision_told_to_all() {
    let set = come_back(1).await;
    assert_leaving_known(&set, &set.runners[0]).await;
}

/// Guards against a runner's leaving that is dropped as older than what the runner wrote in the time
/// that the copy lacks.
#[tokio::test]
async fn leaving_of_runner_that_wrote_in_lost_time_taken() {
    let set = come_back(0).await;
    assert_leaving_known(&set, &set.runners[0]).await;
}
