//! Which responses a stopping node may cut.

use std::time::Duration;

use sardinepick_testutils::cluster::wait_until;
use sardinepick_testutils::fleet::deployment::Deployment;
use sardinepick_testutils::fleet::raw_caller::{End, RawCaller, RawReply, RawRequest};
use sardinepick_testutils::fleet::runner::{Faults, Runner};
use sardinepick_testutils::fleet::stop::{Loss, Stop};
use tokio::time::Instant;

const ID: &str = "r1";

/// A runner that works on a request.
async fn busy_runner() -> (Runner, RawCaller) {
    let mut set = Deployment::new().await;
    let runner = set.add_runner("ontbijtbord", None).await;
    let response_delay = Duration::from_secs(60);
    runner.set_faults(Faults { response_delay, ..Faults::default() });
    let mut caller = RawCaller::connect(runner.address()).await;
    assert!(caller.write(&RawRequest::new("/eggs/a", ID).bytes()).await);
    wait_until("the runner works", async || runner.has_worked_on(ID)).await;
    (runner, caller)
}

/// Whether a node with a grace period of 8 s may cut a response with this status at a moment after
/// SIGTERM, if the request was written at another one.
fn may_cut(runner: &Runner, id: &str, status: u16, written_ms: u64, ended_ms: u64) -> bool {
    let terminated = Instant::now();
    let stop = Stop { terminated, grace: Duration::from_secs(8) };
    let at = |ms| terminated + Duration::from_millis(ms);
    let reply = RawReply { status, end: End::Closed, ..RawReply::default() };
    let loss = Loss { id, written: at(written_ms), reply: &reply, ended: at(ended_ms) };
    stop.excuses(&loss, std::slice::from_ref(runner))
}

/// Guards against excusing more than the platform's rules do.
#[tokio::test]
async fn excuses_only_early_request_with_busy_runner_in_last_sixth() {
    let (runner, _caller) = busy_runner().await;
    assert!(may_cut(&runner, ID, 200, 2_990, 7_700));
    assert!(!may_cut(&runner, ID, 200, 3_010, 7_700), "written late");
    assert!(!may_cut(&runner, ID, 200, 2_990, 6_600), "before the last sixth");
    assert!(!may_cut(&runner, ID, 200, 2_990, 9_100), "after the end of the process");
    assert!(!may_cut(&runner, ID, 0, 2_990, 7_700), "without any response");
    assert!(!may_cut(&runner, "r2", 200, 2_990, 7_700), "no runner had it");
}
