//! Requests that take a broken stream up again: which service and version they are bound to.

use std::time::Duration;

use rand::Rng;
use sardinepick_lib::fleet::admission::{Reason, Terms, Wait};
use sardinepick_lib::fleet::route::Route;
use sardinepick_lib::fleet::stream_binding::{Binding, StreamKey};
use sardinepick_lib::id::{AccountId, ServiceId};
use sardinepick_platform::caller::CallerHeaders;

use crate::serve::metrics::Metrics;
use crate::serve::response::Refusal;
use crate::stream_binding::{Found, StreamBindings};

/// A request that may take a stream up.
pub struct Resumption<'a> {
    /// The id of the request.
    pub id: &'a str,
    /// Its route.
    pub route: &'a Route,
    /// Its client account.
    pub account: Option<&'a AccountId>,
    /// Its headers.
    pub headers: &'a CallerHeaders,
    /// The time left until its deadline.
    pub left: Duration,
}

impl Resumption<'_> {
    /// The stream that the request takes up, or else begins.
    pub fn stream(&self) -> StreamKey {
        StreamKey::new(self.account, self.headers.resumes.as_deref().unwrap_or(self.id))
    }

    /// What the request is bound to; `None` if it begins a new stream.
    ///
    /// # Errors
    /// The request takes a stream up whose version is not known for sure, or whose service the
    /// route does not lead to any more.
    pub async fn resolve(
        &self,
        bindings: &StreamBindings,
        metrics: &Metrics,
    ) -> Result<Option<Binding>, Reason> {
        if self.headers.resumes.is_none() && self.headers.last_event.is_none() {
            return Ok(None);
        }
        let only_service = match self.route.targets.as_slice() {
            [target] => Some(&target.service),
            _ => None,
        };
        // Deadlines seen before a restart are not known; callers may wait for the route's timeout.
        let lifetime = self.left.max(self.route.timeout);
        let found = bindings.find(self.stream(), only_service, lifetime).await;
        let (source, age) = match &found {
            Found::Bound(_, source, age) => ((*source).into(), *age),
            Found::Only(_) => ("history", Duration::ZERO),
            Found::Unknown => ("none", Duration::ZERO),
        };
        let result = self.judge(found, only_service);
        let outcome = match &result {
            Ok(_) => "bound",
            Err(reason) => reason.into(),
        };
        metrics.stream_resumptions.with_label_values(&[outcome, source]).inc();
        let binding = result.as_ref().ok();
        log::info!(
            request = self.id, route:% = self.route.name,
            resumes = self.headers.resumes.as_deref().unwrap_or_default(),
            last_event = self.headers.last_event.as_deref().unwrap_or_default(),
            service = binding.map_or("", |binding| binding.service.as_str()),
            stream_version = binding.map_or("", |binding| binding.version.as_str()),
            source = source, age_ms = age.as_millis() as u64, outcome = outcome;
            "stream taken up"
        );
        result.map(Some)
    }

    fn judge(&self, found: Found, only_service: Option<&ServiceId>) -> Result<Binding, Reason> {
        match (found, only_service) {
            (Found::Bound(binding, ..), _) => {
                let leads_there = self.route.targets.iter().any(|t| t.service == binding.service);
                if leads_there { Ok(binding) } else { Err(Reason::ServiceMoved) }
            }
            (Found::Only(version), Some(service)) => {
                Ok(Binding { service: service.clone(), version })
            }
            (Found::Only(_), None) | (Found::Unknown, _) => Err(Reason::VersionUnknown),
        }
    }

    /// The refusal of the request, which has not run.
    pub fn refusal<R: Rng>(&self, reason: Reason, rng: &mut R) -> Refusal {
        let terms = Terms::new(self.route, self.left, Wait::default(), 1.0);
        Refusal::NotRun(reason, terms.retry_delay(0.0, rng))
    }
}
