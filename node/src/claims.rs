//! Claims of request keys, on both sides: at the node that wants to send a request, and at the
//! owner of its key.

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

/// How often telling the owner what came of a request is tried.
const END_TRIES: u32 = 5;
/// How long it waits between the tries.
const END_PAUSE: Duration = Duration::from_millis(200);
/// How often a claim in progress elsewhere is looked at again.
const LOOK_AGAIN: Duration = Duration::from_millis(50);

/// What a caller says of a request that must not run twice.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Key {
    /// The account and the caller's key.
    pub key: SmolStr,
    /// The caller's attempt, from 1.
    pub attempt: Attempt,
    /// The version under which the caller first sent the request.
    pub birth: Version,
    /// The digest of the request.
    pub request: u64,
}

/// Judges a claim as the owner. A version newer than the table here is looked up first.
pub async fn judge(node: &Node, claim: &Claim) -> Verdict {
    let verdict = node.register().claim(claim);
    if verdict != Verdict::Doubt(Doubt::TooNew) {
        return verdict;
    }
    if let Err(error) = tables::refresh(node).await {
        log::warn!(error:% = error; "looking up a newer table of owners");
    }
    node.register().claim(claim)
}

/// The right to send a request once. Its outcome must be told.
pub struct Grant {
    node: Arc<Node>,
    owner: Member,
    claim: Claim,
    sent: bool,
    told: bool,
}

/// Why a request is not sent.
#[derive(Clone, Debug, Eq, IntoStaticStr, PartialEq)]
#[strum(serialize_all = "snake_case")]
pub enum Denial {
    /// It has been run; this came of it.
    Ended(Outcome),
    /// The key belongs to another request.
    OtherRequest,
    /// It is under way elsewhere and did not end in time.
    InProgress,
    /// It cannot be known whether it has been run.
    Doubt(Doubt),
    /// The owner cannot be reached.
    Unreachable,
}

/// Claims a key, waiting up to `patience` for a claim elsewhere to end.
///
/// # Errors
/// The reason not to send the request.
pub async fn claim(node: &Arc<Node>, key: &Key, patience: Duration) -> Result<Grant, Denial> {
    let until = node.clock.now() + patience;
    loop {
        let denial = match claim_once(node, key).await {
            Ok(grant) => return Ok(grant),
            Err(denial) => denial,
        };
        let label: &str = (&denial).into();
        node.metrics.claims.with_label_values(&[label]).inc();
        if denial != Denial::InProgress || node.clock.now() >= until {
            return Err(denial);
        }
        tokio::time::sleep(LOOK_AGAIN).await;
    }
}

async fn claim_once(node: &Arc<Node>, key: &Key) -> Result<Grant, Denial> {
    if key.birth > node.table.load().newest()
        && let Err(error) = tables::refresh(node).await
    {
        log::warn!(error:% = error; "looking up a newer table of owners");
    }
    let table = node.table.load_full();
    if key.birth < table.oldest() {
        return Err(Denial::Doubt(Doubt::TooOld));
    }
    let Some(owner) = table.owner(&key.key, key.birth).cloned() else {
        return Err(Denial::Doubt(Doubt::TooNew));
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
        judge(node, &claim).await
    } else {
        match node.peers.claim(owner.address, &claim).await {
            Ok(verdict) => verdict,
            Err(error) => {
                log::warn!(error:% = error; "claiming a key");
                // The owner may have granted the claim; it is given back since nothing is sent.
                drop(Grant { node: node.clone(), owner, claim, sent: false, told: false });
                return Err(Denial::Unreachable);
            }
        }
    };
    match verdict {
        Verdict::Run => {
            node.metrics.claims.with_label_values(&["run"]).inc();
            Ok(Grant { node: node.clone(), owner, claim, sent: false, told: false })
        }
        Verdict::InProgress => Err(Denial::InProgress),
        Verdict::Ended(outcome) => Err(Denial::Ended(outcome)),
        Verdict::OtherRequest => Err(Denial::OtherRequest),
        Verdict::Doubt(doubt) => Err(Denial::Doubt(doubt)),
    }
}

impl Grant {
    /// Notes that bytes of the request may leave from now on.
    pub fn mark_sent(&mut self) {
        self.sent = true;
    }

    /// Tells the owner what came of the request.
    pub fn end(mut self, outcome: &Outcome) {
        self.told = true;
        self.tell(Some(outcome));
    }

    /// Gives the key back: the request was not sent, or proved unstarted, and will not be sent.
    pub fn release(mut self) {
        self.told = true;
        self.tell(None);
    }

    fn tell(&self, outcome: Option<&Outcome>) {
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
        tokio::spawn(tell_owner(self.node.clone(), self.owner.address, request));
    }
}

impl Drop for Grant {
    fn drop(&mut self) {
        // A grant is dropped untold when its caller hangs up. Once the request may have left, giving
        // the key back would let a repeat run it a second time.
        if !self.told {
            self.tell(self.sent.then_some(&Outcome::Unknown));
        }
    }
}

async fn tell_owner(node: Arc<Node>, owner: SocketAddr, request: pb::EndRequest) {
    for _ in 0..END_TRIES {
        match node.peers.end(owner, request.clone()).await {
            Ok(()) => return,
            Err(error) => log::debug!(error:% = error; "telling what came of a request"),
        }
        tokio::time::sleep(END_PAUSE).await;
    }
    log::warn!(peer:% = owner, key:% = request.key; "an owner was not told of an outcome");
}
