//! Claims of idempotency keys, on both sides: the node that wants to send a request, and the owner
//! of its key.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use sardinepick_lib::claim::{Claim, Claimant, Doubt, Outcome, Verdict};
use sardinepick_lib::id::{Attempt, Version};
use sardinepick_lib::owner::Member;
use sardinepick_wire::generated as pb;
use smol_str::SmolStr;
use strum::IntoStaticStr;

use crate::node::Node;
use crate::tables;

/// The maximum number of attempts to report an outcome to the owner of a key.
const MAX_REPORT_ATTEMPTS: u32 = 5;
/// The delay between these attempts.
const REPORT_RETRY_DELAY: Duration = Duration::from_millis(200);
/// How often a key that another node has claimed is checked again.
const CLAIM_RETRY_INTERVAL: Duration = Duration::from_millis(50);

/// The idempotency key of a request, with the data needed to claim it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RequestKey {
    /// The account, the service and the client's key.
    pub key: SmolStr,
    /// The number of the client's attempt, from 1.
    pub attempt: Attempt,
    /// The table version with which the client first sent the request.
    pub birth: Version,
    /// The hash of the request.
    pub request: u64,
}

/// Decides a claim as the owner. If the claim has a newer table version, the table is refreshed
/// first.
pub async fn decide(node: &Node, claim: &Claim) -> Verdict {
    let verdict = node.register().claim(claim);
    if verdict != Verdict::Doubt(Doubt::TooNew) {
        return verdict;
    }
    if let Err(error) = tables::refresh(node).await {
        log::warn!(error:% = error; "failed to refresh the owner table");
    }
    node.register().claim(claim)
}

/// The right to send a request once. Its outcome must be reported to the owner.
pub struct Grant {
    node: Arc<Node>,
    owner: Member,
    claim: Claim,
    sent: bool,
    reported: bool,
}

/// Why a key could not be claimed.
#[derive(Clone, Debug, Eq, IntoStaticStr, PartialEq)]
#[strum(serialize_all = "snake_case")]
pub enum ClaimError {
    /// The request has run, with this outcome.
    Ended(Outcome),
    /// The key was used for a different request.
    OtherRequest,
    /// The request is in progress elsewhere and did not end in time.
    InProgress,
    /// It cannot be determined whether the request has run.
    Doubt(Doubt),
    /// The owner is unreachable.
    Unreachable,
}

/// Claims a key, waiting up to `timeout` for a claim elsewhere to end.
///
/// # Errors
/// The request must not be sent.
pub async fn claim(
    node: &Arc<Node>,
    key: &RequestKey,
    timeout: Duration,
) -> Result<Grant, ClaimError> {
    let expires_at = node.clock.now() + timeout;
    loop {
        let error = match claim_once(node, key).await {
            Ok(grant) => return Ok(grant),
            Err(error) => error,
        };
        let label: &str = (&error).into();
        node.metrics.claims.with_label_values(&[label]).inc();
        if error != ClaimError::InProgress || node.clock.now() >= expires_at {
            return Err(error);
        }
        tokio::time::sleep(CLAIM_RETRY_INTERVAL).await;
    }
}

async fn claim_once(node: &Arc<Node>, key: &RequestKey) -> Result<Grant, ClaimError> {
    if key.birth > node.table.load().newest()
        && let Err(error) = tables::refresh(node).await
    {
        log::warn!(error:% = error; "failed to refresh the owner table");
    }
    let table = node.table.load_full();
    if key.birth < table.oldest() {
        return Err(ClaimError::Doubt(Doubt::TooOld));
    }
    let Some(owner) = table.owner(&key.key, key.birth).cloned() else {
        return Err(ClaimError::Doubt(Doubt::TooNew));
    };
    let claimant = Claimant {
        name: node.settings.name.clone(),
        incarnation: node.incarnation,
        serial: node.next_claim(),
    };
    let claim = Claim {
        key: key.key.clone(),
        attempt: key.attempt,
        birth: key.birth,
        request: key.request,
        claimant,
    };
    let verdict = if owner.address == node.settings.peer {
        decide(node, &claim).await
    } else {
        match node.peers.claim(owner.address, &claim).await {
            Ok(verdict) => verdict,
            Err(error) => {
                log::warn!(error:% = error; "failed to claim a key");
                // The owner may have granted the claim. Dropping the grant releases it.
                drop(Grant { node: node.clone(), owner, claim, sent: false, reported: false });
                return Err(ClaimError::Unreachable);
            }
        }
    };
    match verdict {
        Verdict::Run => {
            node.metrics.claims.with_label_values(&["run"]).inc();
            Ok(Grant { node: node.clone(), owner, claim, sent: false, reported: false })
        }
        Verdict::InProgress => Err(ClaimError::InProgress),
        Verdict::Ended(outcome) => Err(ClaimError::Ended(outcome)),
        Verdict::OtherRequest => Err(ClaimError::OtherRequest),
        Verdict::Doubt(doubt) => Err(ClaimError::Doubt(doubt)),
    }
}

impl Grant {
    /// Records that bytes of the request may be sent from now on.
    pub fn mark_sent(&mut self) {
        self.sent = true;
    }

    /// Reports the outcome of the request to the owner.
    pub fn end(mut self, outcome: &Outcome) {
        self.reported = true;
        self.report(Some(outcome));
    }

    /// Releases the key: the request was not sent, or provably not started, and will not be sent.
    pub fn release(mut self) {
        self.reported = true;
        self.report(None);
    }

    fn report(&self, outcome: Option<&Outcome>) {
        let claim = &self.claim;
        if self.owner.address == self.node.settings.peer {
            let mut register = self.node.register();
            match outcome {
                Some(outcome) => {
                    register.end(&claim.key, claim.birth, &claim.claimant, outcome.clone());
                }
                None => register.release(&claim.key, claim.birth, &claim.claimant),
            }
            return;
        }
        let request = pb::EndRequest {
            key: claim.key.to_string(),
            birth: claim.birth.0,
            claimant: Some((&claim.claimant).into()),
            released: outcome.is_none(),
            outcome: outcome.map(Into::into),
        };
        tokio::spawn(report_to_owner(self.node.clone(), self.owner.address, request));
    }
}

impl Drop for Grant {
    fn drop(&mut self) {
        // A grant is dropped without a report when the client disconnects. Once the request may
        // have been sent, releasing the key would allow a retry to run it a second time.
        if !self.reported {
            self.report(self.sent.then_some(&Outcome::Unknown));
        }
    }
}

async fn report_to_owner(node: Arc<Node>, owner: SocketAddr, request: pb::EndRequest) {
    for _ in 0..MAX_REPORT_ATTEMPTS {
        match node.peers.end(owner, request.clone()).await {
            Ok(()) => return,
            Err(error) => log::debug!(error:% = error; "failed to report the outcome of a request"),
        }
        tokio::time::sleep(REPORT_RETRY_DELAY).await;
    }
    log::warn!(peer:% = owner, key:% = request.key; "outcome not reported to the owner of the key");
}
