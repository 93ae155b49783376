//! The roles of candidates: which prefill, which decode, and which do late work.

use super::Criteria;
use super::candidate::Candidate;
use crate::fleet::engine::{Engine, Stage, Work};
use crate::fleet::load::Class;
use crate::hash::{rendezvous_weight, stable_hash};

/// The candidates of a service by role.
///
/// A runner that has started a prompt prefills it to the end, and everything that arrives
/// meanwhile, including a KV cache from another runner, waits for its first token. One long prompt
/// thus delays every stream that starts on its runner. Therefore some decode runners do no prefill,
/// and late work, most of which is long, is prefilled by a subset of the other runners only.
pub(super) struct Roles<'a, 'b> {
    /// Decode runners, all of which can continue from a prompt prefilled elsewhere.
    pub(super) decode: Vec<&'b Candidate<'a>>,
    /// The decode runners that also prefill.
    pub(super) whole: Vec<&'b Candidate<'a>>,
    /// Prefill runners for work that can be on time.
    pub(super) prefill: Vec<&'b Candidate<'a>>,
    /// Prefill runners for late work; work that can be on time may use them too. When they are
    /// busy, late work goes to idle runners of `prefill`.
    pub(super) late: Vec<&'b Candidate<'a>>,
}

/// The fraction of the decode runners that do no prefill, and their minimum as a fraction of all
/// runners. Two of nine carry the streams of the reference load at twice its usual rate with fewer
/// than 60 each.
const DECODE_ONLY: (f64, f64) = (0.4, 0.2);
/// The fraction of the prefill capacity that late work may use. In bursts, one third of the
/// requested tokens cannot be prefilled in time.
const LATE_PREFILL_SHARE: f64 = 0.35;
/// How much longer late work waits for the runners reserved for it before it goes to an idle one of
/// the others, in seconds. There it may delay work that could be on time, on average by half of its
/// prefill. Excluding late work altogether, on a fleet whose other runners were idle for two thirds
/// of the time, made the runners for late work five times as busy as the rest.
const SPILLOVER_WAIT: f64 = 0.2;
/// The fraction of the other prefill runners that late work leaves idle, for work that can be on
/// time.
const IDLE_RESERVE: f64 = 0.5;
/// The prefill speed of a decode runner relative to a prefill runner: half the speed in chunks of a
/// quarter of the size.
const DECODE_PREFILL_SPEED: f64 = 0.4;

pub(super) fn assign_roles<'a, 'b>(
    all: &'b [Candidate<'a>],
    criteria: &Criteria<'_>,
    engine: &Engine,
    work: &Work,
) -> Roles<'a, 'b> {
    // The order is the same on all nodes that see the same runners, whatever their number.
    let service = stable_hash(0, criteria.service.as_str().as_bytes());
    let of_stage = |stage| {
        let mut matching: Vec<&Candidate<'_>> =
            all.iter().filter(|c| c.runner.entry.stage == Some(stage)).collect();
        matching.sort_by_key(|c| rendezvous_weight(service, c.runner.entry.id.as_str().as_bytes()));
        matching
    };
    let (mut prefill, mut whole) = (of_stage(Stage::Prefill), of_stage(Stage::Decode));
    let mut decode = whole.clone();
    if !prefill.is_empty() {
        let of_decode = (whole.len() as f64 * DECODE_ONLY.0).ceil();
        let of_all = ((whole.len() + prefill.len()) as f64 * DECODE_ONLY.1).ceil();
        let count = (of_decode.max(of_all) as usize).min(whole.len());
        whole.truncate(whole.len() - count);
    }
    // The decode runners that also prefill, expressed as a number of prefill runners.
    let whole_equivalent = whole.len() as f64 * DECODE_PREFILL_SPEED;
    let for_late =
        (prefill.len() as f64 + whole_equivalent) * LATE_PREFILL_SHARE - whole_equivalent;
    let count = (for_late.max(0.0).round() as usize).min(prefill.len().saturating_sub(1));
    let late = prefill.split_off(prefill.len() - count);
    let room = |c: &&Candidate<'_>| c.runner.has_room(&c.load, engine, work.footprint());
    retain_if_any(&mut decode, room);
    if whole.is_empty() && late.is_empty() {
        whole.clone_from(&decode);
    }
    let open = |c: &&Candidate<'_>| c.has_queue_room(criteria.class, engine);
    retain_if_any(&mut decode, open);
    retain_if_any(&mut whole, open);
    Roles { decode, whole, prefill, late }
}

impl Roles<'_, '_> {
    /// Removes the decode runners whose queues are too long for work of `class`.
    pub(super) fn drop_full_queues(&mut self, class: Class, engine: &Engine) {
        let open = |c: &&Candidate<'_>| c.has_queue_room(class, engine);
        self.decode.retain(open);
        self.whole.retain(open);
    }
}

/// Keeps only the candidates that match, unless none does.
pub(super) fn retain_if_any<'a, 'b>(
    candidates: &mut Vec<&'b Candidate<'a>>,
    matches: impl FnMut(&&'b Candidate<'a>) -> bool + Copy,
) {
    if candidates.iter().any(matches) {
        candidates.retain(matches);
    }
}

/// The prefill runners for work of a class, each with an additional cost in seconds.
pub(super) fn prefill_candidates<'a, 'b>(
    roles: &Roles<'a, 'b>,
    class: Class,
) -> Vec<(&'b Candidate<'a>, f64)> {
    let own = roles.late.iter().map(|c| (*c, 0.0));
    if class != Class::LATE {
        return roles.prefill.iter().map(|c| (*c, 0.0)).chain(own).collect();
    }
    let idle: Vec<_> =
        roles.prefill.iter().filter(|c| c.is_idle()).map(|c| (*c, SPILLOVER_WAIT)).collect();
    let reserve = roles.prefill.len() as f64 * IDLE_RESERVE;
    if idle.len() as f64 > reserve { own.chain(idle).collect() } else { own.collect() }
}
