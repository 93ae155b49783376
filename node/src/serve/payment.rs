//! Extra arrivals that are reserved in the retry budget for the calls of one attempt.

use std::sync::Arc;

use sardinepick_lib::id::ServiceId;

use crate::serve::shared::Shared;

/// Reserved extra arrivals. Those that are not spent return to the budget when it is dropped.
pub struct Payment {
    shared: Arc<Shared>,
    service: ServiceId,
    reserved: usize,
}

impl Payment {
    /// Reserves `calls` extra arrivals, all or none; `None` if the budget does not have them.
    pub fn reserve(shared: &Arc<Shared>, service: &ServiceId, calls: usize) -> Option<Self> {
        let granted = calls == 0 || shared.reserve_extra_arrivals(service, calls);
        granted.then(|| Self { shared: shared.clone(), service: service.clone(), reserved: calls })
    }

    /// Spends one extra arrival, if one is left: the first arrival of a request is free.
    pub fn spend(&mut self) {
        if self.reserved > 0 {
            self.reserved -= 1;
            let now = self.shared.clock.now();
            self.shared.with_budget(&self.service, |budget| budget.spend(now));
        }
    }

    /// Returns extra arrivals beyond the next `calls` to the budget.
    pub fn keep(&mut self, calls: usize) {
        let surplus = self.reserved.saturating_sub(calls);
        if surplus > 0 {
            self.reserved -= surplus;
            self.shared.with_budget(&self.service, |budget| budget.release(surplus));
        }
    }
}

impl Drop for Payment {
    fn drop(&mut self) {
        self.keep(0);
    }
}
