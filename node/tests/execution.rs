//! What a node knows of the runs of a request, and what it may tell its caller.

use std::time::Duration;

use sardinepick_lib::fleet::admission::Reason;
use sardinepick_node::serve::execution::{Execution, Proof, promises_not_run};
use sardinepick_node::serve::response::Refusal;

const REFUSALS: [Refusal; 6] = [
    Refusal::NotRun(Reason::Shed, Duration::ZERO),
    Refusal::Expired,
    Refusal::Late,
    Refusal::Broken,
    Refusal::Quarantined,
    Refusal::NoRoute,
];

/// Guards against a refusal that promises that a request has not run while a call of it may have.
#[test]
fn truthful_unproved_call_no_promise() {
    let mut execution = Execution::default();
    let rejected = execution.begin();
    drop(execution.begin());
    execution.disprove(rejected, Proof::Rejected);
    assert_eq!(execution.runs(), 1);
    for refusal in REFUSALS {
        let told = execution.truthful(refusal);
        assert!(!promises_not_run(told.status()), "{refusal} is told as {told}");
    }
}

#[test]
fn truthful_all_calls_disproved_unchanged() {
    let mut execution = Execution::default();
    for proof in [Proof::NotConnected, Proof::Returned, Proof::Overdue, Proof::Rejected] {
        let call = execution.begin();
        assert!(execution.may_have_run());
        execution.disprove(call, proof);
    }
    for refusal in REFUSALS {
        assert_eq!(execution.truthful(refusal), refusal);
    }
}
