//! The affinity of shared prompts to runners.

use smallvec::SmallVec;

use super::candidate::Candidate;
use super::prefill::{PrefillEstimate, PrefillInputs};
use crate::fleet::engine::{Stage, Work, prefill_time};
use crate::fleet::load::Load;
use crate::hash::rendezvous_weight;
use crate::id::RunnerId;

/// The number of runners that a shared prompt has affinity to, in order of preference. The second
/// one takes the overflow of the first and is likely to have the prompt cached too.
const AFFINITY_RUNNERS: usize = 2;
/// The cost reduction for the most preferred runner of a prompt: a constant in seconds, plus a
/// fraction of the time to prefill the shared part that no runner has cached. It makes all nodes
/// start a new prompt on the same runner, even before they have heard of each other's decisions.
const AFFINITY_BONUS: (f64, f64) = (0.04, 0.5);

/// The runners that a shared prompt has affinity to, most preferred first. All nodes that see the
/// same runners get the same result.
pub(super) fn affinity_runners<'a>(
    runners: impl Iterator<Item = &'a Candidate<'a>>,
    work: &Work,
) -> SmallVec<[&'a RunnerId; AFFINITY_RUNNERS]> {
    let key = work.chain.affinity_key().0;
    let mut affinity_runners: SmallVec<[(u64, &RunnerId); AFFINITY_RUNNERS + 1]> = SmallVec::new();
    for candidate in runners {
        let id = &candidate.runner.entry.id;
        let weight = rendezvous_weight(key, id.as_str().as_bytes());
        let at = affinity_runners.partition_point(|(other, _)| *other > weight);
        if at < AFFINITY_RUNNERS {
            affinity_runners.insert(at, (weight, id));
            affinity_runners.truncate(AFFINITY_RUNNERS);
        }
    }
    affinity_runners.into_iter().map(|(_, id)| id).collect()
}

/// The cost reduction of a candidate that the prompt has affinity to, in seconds.
pub(super) fn affinity_bonus(
    affinity_runners: &[&RunnerId],
    estimate: &PrefillEstimate<'_, '_>,
    inputs: &PrefillInputs<'_>,
) -> f64 {
    let id = &estimate.at.runner.entry.id;
    let Some(at) = affinity_runners.iter().position(|r| *r == id) else { return 0.0 };
    let cached = inputs.cache_holder.as_ref().map_or(0, |holder| holder.tokens);
    let missing = inputs.work.chain.shared().saturating_sub(cached);
    let time = if estimate.basis.is_some() {
        estimate.at.runner.prefill_time(&Load::default(), missing, cached)
    } else {
        prefill_time(Stage::Prefill, missing, cached, 0)
    };
    let full_bonus = AFFINITY_BONUS.0 + AFFINITY_BONUS.1 * time;
    full_bonus * (1.0 - at as f64 / AFFINITY_RUNNERS as f64)
}
