//! What crashes a fake runner.

use bytes::Bytes;

use super::ReceivedRequest;

/// The requests on which a runner crashes.
#[derive(Clone, Debug)]
pub enum Trigger {
    /// Requests with this body, when it starts to work on them.
    Body(Bytes),
    /// Requests with one of these parts in their prompts, the last one aside, when it begins to
    /// write an answer.
    Parts(Vec<String>),
}

impl Trigger {
    /// Whether a request has what crashes the runner, whether or not it is run.
    pub fn matches(&self, request: &ReceivedRequest) -> bool {
        match self {
            Trigger::Body(body) => request.body == *body,
            Trigger::Parts(parts) => {
                let prefix = request.headers.get("prompt-prefix").and_then(|v| v.to_str().ok());
                let ids = prefix.unwrap_or_default().split(',');
                let ids: Vec<&str> = ids.filter_map(|part| part.split(':').next()).collect();
                let shared = ids.split_last().map_or(&[][..], |(_, shared)| shared);
                shared.iter().any(|id| parts.iter().any(|part| part == id))
            }
        }
    }

    /// Whether a runner that only prefills the prompt of a request crashes.
    pub(super) fn crashes_prefill(&self, request: &ReceivedRequest) -> bool {
        matches!(self, Trigger::Body(_)) && self.matches(request)
    }
}
