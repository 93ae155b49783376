//! Trials of restricted requests.

use std::sync::Arc;
use std::time::{Duration, Instant};

use sardinepick_lib::fleet::fingerprint::Fingerprint;
use sardinepick_lib::fleet::part_quarantine::Subject;
use sardinepick_lib::fleet::runner::Tag;

use super::note_stage;
use crate::part_quarantine::Permit;
use crate::serve::request::Request;
use crate::serve::shared::Shared;

/// How long a call may begin after the permit was granted. The node that has granted it gives it to
/// another request later on.
const MAX_AGE: Duration = Duration::from_secs(2);

/// A trial of a restricted request: no other request of its group runs meanwhile. It ends when it is
/// dropped.
pub struct Trial {
    shared: Arc<Shared>,
    request: Fingerprint,
    _permit: Permit,
    acquired: Instant,
    /// Whether a runner may have run the request.
    may_have_run: bool,
}

impl Trial {
    /// Begins a trial of a request of `group`; `None` if another one of the group is in progress.
    pub(super) async fn begin(shared: &Arc<Shared>, request: &Request, group: Tag) -> Option<Self> {
        let acquired = shared.clock.now();
        let permit = shared.part_quarantine.acquire_group(Subject::of_group(group)).await?;
        Some(Self {
            shared: shared.clone(),
            request: request.fingerprint,
            _permit: permit,
            acquired,
            may_have_run: false,
        })
    }

    /// Whether the next call of the trial may be sent: the request is still restricted, and the
    /// permit has not expired.
    pub fn is_valid(&self) -> bool {
        let now = self.shared.clock.now();
        let is_recent = now.saturating_duration_since(self.acquired) < MAX_AGE;
        is_recent && self.shared.quarantine.state().quarantine.is_restricted(&self.request, now)
    }

    /// Records that a call is sent to a runner.
    pub fn note_sent(&mut self) {
        self.may_have_run = true;
    }

    /// Records that the runner has not run the request.
    pub fn note_not_run(&mut self) {
        self.may_have_run = false;
    }
}

impl Drop for Trial {
    fn drop(&mut self) {
        if !self.may_have_run {
            return;
        }
        // If the trial had a result the request is no longer restricted, and nothing changes.
        let now = self.shared.clock.now();
        let entry = self.shared.quarantine.state().quarantine.note_trial(&self.request, now);
        if let Some(entry) = entry {
            note_stage(&self.shared, &entry, "trial without a result");
            self.shared.heartbeat_now.notify_one();
        }
    }
}
