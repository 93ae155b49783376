//! Conversion of claims of idempotency keys.

use sardinepick_lib::claim::{Answer, Claim, Claimant, Doubt, Outcome, Verdict};
use sardinepick_lib::id::{Attempt, Incarnation, Version};
use smol_str::SmolStr;

use crate::error::WireError;
use crate::generated as pb;

impl From<&Claimant> for pb::Claimant {
    fn from(claimant: &Claimant) -> Self {
        Self {
            name: claimant.name.to_string(),
            incarnation: claimant.incarnation.0,
            serial: claimant.serial,
        }
    }
}

impl TryFrom<pb::Claimant> for Claimant {
    type Error = WireError;

    fn try_from(claimant: pb::Claimant) -> Result<Self, WireError> {
        Ok(Self {
            name: claimant.name.parse().map_err(|_| WireError::Value("name"))?,
            incarnation: Incarnation(claimant.incarnation),
            serial: claimant.serial,
        })
    }
}

impl From<&Claim> for pb::ClaimRequest {
    fn from(claim: &Claim) -> Self {
        Self {
            key: claim.key.to_string(),
            attempt: claim.attempt.0,
            birth: claim.birth.0,
            request: claim.request,
            claimant: Some((&claim.claimant).into()),
        }
    }
}

impl TryFrom<pb::ClaimRequest> for Claim {
    type Error = WireError;

    fn try_from(request: pb::ClaimRequest) -> Result<Self, WireError> {
        Ok(Self {
            key: SmolStr::new(request.key),
            attempt: Attempt(request.attempt),
            birth: Version(request.birth),
            request: request.request,
            claimant: request.claimant.ok_or(WireError::Missing("claimant"))?.try_into()?,
        })
    }
}

impl From<&Outcome> for pb::Outcome {
    fn from(outcome: &Outcome) -> Self {
        let (ended, answer) = match outcome {
            Outcome::Answered(answer) => (pb::Ended::Answered, Some(answer)),
            Outcome::NotKept => (pb::Ended::NotKept, None),
            Outcome::Unknown => (pb::Ended::Unknown, None),
        };
        let answer = answer.map(|a| pb::Answer {
            status: u32::from(a.status),
            content_type: a.content_type.to_string(),
            body: a.body.clone(),
        });
        Self { ended: ended.into(), answer }
    }
}

impl TryFrom<pb::Outcome> for Outcome {
    type Error = WireError;

    fn try_from(outcome: pb::Outcome) -> Result<Self, WireError> {
        Ok(match outcome.ended() {
            pb::Ended::Unknown => Outcome::Unknown,
            pb::Ended::NotKept => Outcome::NotKept,
            pb::Ended::Answered => {
                let answer = outcome.answer.ok_or(WireError::Missing("answer"))?;
                Outcome::Answered(Answer {
                    status: u16::try_from(answer.status).map_err(|_| WireError::Value("status"))?,
                    content_type: SmolStr::new(answer.content_type),
                    body: answer.body,
                })
            }
        })
    }
}

impl From<&Verdict> for pb::ClaimReply {
    fn from(verdict: &Verdict) -> Self {
        use pb::claim_reply::Verdict as Out;
        let verdict = match verdict {
            Verdict::Run => Out::Run(pb::Empty {}),
            Verdict::InProgress => Out::InProgress(pb::Empty {}),
            Verdict::Ended(outcome) => Out::Outcome(outcome.into()),
            Verdict::OtherRequest => Out::OtherRequest(pb::Empty {}),
            Verdict::Doubt(doubt) => Out::Doubt(doubt.to_string()),
        };
        Self { verdict: Some(verdict) }
    }
}

impl TryFrom<pb::ClaimReply> for Verdict {
    type Error = WireError;

    fn try_from(reply: pb::ClaimReply) -> Result<Self, WireError> {
        use pb::claim_reply::Verdict as In;
        Ok(match reply.verdict.ok_or(WireError::Missing("verdict"))? {
            In::Run(_) => Verdict::Run,
            In::InProgress(_) => Verdict::InProgress,
            In::Outcome(outcome) => Verdict::Ended(outcome.try_into()?),
            In::OtherRequest(_) => Verdict::OtherRequest,
            In::Doubt(doubt) => Verdict::Doubt(match doubt.as_str() {
                "too_old" => Doubt::TooOld,
                "too_new" => Doubt::TooNew,
                _ => Doubt::NotOwner,
            }),
        })
    }
}
