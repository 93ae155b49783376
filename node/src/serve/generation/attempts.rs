//! What has been tried for a generation.

use sardinepick_lib::fleet::placement::Plan;
use sardinepick_lib::fleet::register_version::RegisterVersion;
use sardinepick_lib::fleet::version::Version;
use sardinepick_lib::id::RunnerId;
use smallvec::SmallVec;
use smol_str::SmolStr;

use super::Generation;
use crate::serve::execution::Execution;
use crate::serve::payment::Payment;
use crate::serve::request::Request;

/// The attempts of one generation so far, and what has reached its caller.
pub(super) struct Attempts {
    /// The runners that have been tried.
    pub tried: SmallVec<[RunnerId; 4]>,
    /// Calls made to runners.
    pub calls: u32,
    /// Calls that count towards the retry budget.
    pub arrivals: u32,
    /// Prefill calls made. The platform does not count the first one that a runner accepts.
    pub prefills: u32,
    /// Calls in which a runner ran the request, or may have.
    pub execution: Execution,
    /// Runner crashes counted against the request, as of the last crash during one of its calls; 0
    /// if there was none.
    pub crashes: usize,
    /// Whether a runner has crashed during one of its calls.
    pub has_crashed: bool,
    /// Whether it has waited for the whole timeout of a connect.
    pub has_waited: bool,
    /// Whether this is a trial run of a quarantined request, to see if it still crashes runners.
    pub is_trial: bool,
    /// The number of events sent to the caller.
    pub events: u64,
    /// The number of events that its caller had received before, if it takes a stream up.
    received_before: u64,
    /// The ID of the last event sent to the caller.
    pub last_event: Option<SmolStr>,
    /// The version that the stream is bound to: that of the runner whose event was the first to be
    /// sent to the caller.
    pub version: Option<Version>,
    /// The plan of the last placement.
    pub plan: &'static str,
    /// The version of the register by which the last placement was made.
    pub register: RegisterVersion,
}

impl Attempts {
    pub fn new(request: &Request) -> Self {
        Self {
            tried: SmallVec::new(),
            calls: 0,
            arrivals: 0,
            prefills: 0,
            execution: Execution::default(),
            crashes: 0,
            has_crashed: false,
            has_waited: false,
            is_trial: false,
            events: 0,
            received_before: request.caller_headers.received_events(),
            last_event: request.caller_headers.last_event.clone(),
            version: request.version.clone(),
            plan: "none",
            register: RegisterVersion::default(),
        }
    }

    /// The number of events of the stream that its caller has received, in earlier attempts too.
    pub fn received(&self) -> u64 {
        self.received_before.saturating_add(self.events)
    }

    /// Whether a trial run of a quarantined request has not been used.
    pub fn is_unused_trial(&self) -> bool {
        self.is_trial && !self.execution.may_have_run() && self.crashes == 0
    }

    /// How many extra arrivals the calls of an attempt with `plan` are, at most. The first arrival
    /// of a request is not extra, and neither is its first accepted prefill.
    pub fn extra_arrivals(&self, plan: &Plan) -> usize {
        let prefill = match plan {
            Plan::Whole { .. } => false,
            Plan::Split { .. } => self.arrivals > 0 || self.prefills > 0,
        };
        usize::from(prefill) + usize::from(self.arrivals > 0)
    }
}

/// A call in progress that counts towards the retry budget, also if it is cancelled.
pub(super) struct Arrival<'a> {
    generation: &'a Generation,
    payment: &'a mut Payment,
    /// Whether the call is among [`Attempts::arrivals`] already.
    is_counted: bool,
    is_waived: bool,
}

impl<'a> Arrival<'a> {
    /// A run, which always counts.
    pub fn of_run(generation: &'a Generation, payment: &'a mut Payment) -> Self {
        generation.attempts().arrivals += 1;
        Self { generation, payment, is_counted: true, is_waived: false }
    }

    /// A prefill, which may turn out not to count.
    pub fn of_prefill(generation: &'a Generation, payment: &'a mut Payment) -> Self {
        Self { generation, payment, is_counted: false, is_waived: false }
    }

    /// Records that the call does not count.
    pub fn waive(mut self) {
        self.is_waived = true;
    }
}

impl Drop for Arrival<'_> {
    fn drop(&mut self) {
        match (self.is_counted, self.is_waived) {
            (true, true) => self.generation.attempts().arrivals -= 1,
            (false, false) => self.generation.attempts().arrivals += 1,
            (true, false) | (false, true) => {}
        }
        if !self.is_waived {
            self.payment.spend();
        }
    }
}
