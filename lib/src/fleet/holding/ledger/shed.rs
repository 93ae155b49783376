//! Which holdings are shed for others.

use std::time::{Duration, Instant};

use super::{Cause, Holding, Ledger, Number, OWNER_FACTOR};
use crate::fleet::holding::holder::Purpose;
use crate::fleet::holding::unit::Size;

/// How long a reader or sender must not have moved to be shed. Those that are merely slower than
/// their peer move more often.
const MIN_STALL: Duration = Duration::from_secs(1);
/// The interval at which the causes of stalls are compared: readers that stalled within the same
/// second are equally slow, and the largest holding decides.
const STALL_STEP: Duration = Duration::from_secs(1);
/// The minimum time between two choices of what is shed, each of which compares all holdings.
const SHED_INTERVAL: Duration = Duration::from_millis(20);

/// What may be shed for a holding.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Victims {
    /// For a new body: bodies whose senders have stalled.
    StalledBodies,
    /// For a body that grows: all that has stalled, and bodies that grow and arrived later.
    StalledOrLaterBodies,
    /// For others: all that has stalled.
    Stalled,
}

/// Space that a holding lacks.
#[derive(Clone, Copy, Debug)]
pub(super) struct Lack {
    /// By how much the holding is to grow.
    pub size: Size,
    /// The fill level up to which it may.
    pub level: f64,
    /// Why it may not now.
    pub cause: Cause,
}

impl Ledger {
    /// The number of bodies that are being read and have stalled.
    pub fn stalled_bodies(&self, now: Instant) -> usize {
        let is_stalled = |h: &&Holding| h.reading.is_some() && h.stall(now) >= MIN_STALL;
        self.holdings.values().filter(is_stalled).count()
    }

    /// Whether a holding is to be shed.
    pub fn is_shed(&self, number: Number) -> bool {
        self.holdings.get(&number).is_some_and(|holding| holding.is_shed)
    }

    /// Chooses which stalled bodies are shed for a new body of `size` that waits.
    pub fn shed_for_body(&mut self, number: Number, size: Size, now: Instant) -> Vec<Number> {
        let Some(cause) = self.body_refusal(number, size) else { return Vec::new() };
        let lack = Lack { size, level: self.body_level(size), cause };
        self.shed(number, lack, Victims::StalledBodies, now)
    }

    /// Chooses what is shed for a holding: what has stalled for the longest, then the largest
    /// holdings, then the least urgent. If only its owner has no space, only what is the owner's is
    /// shed.
    ///
    /// Bodies that grow hold what they have while they wait for more. The one that arrived first
    /// may take the space of later ones, so that they do not all wait for each other.
    pub(super) fn shed(
        &mut self,
        number: Number,
        lack: Lack,
        victims: Victims,
        now: Instant,
    ) -> Vec<Number> {
        let is_early =
            self.shed_at.is_some_and(|at| now.saturating_duration_since(at) < SHED_INTERVAL);
        let owner = self.holdings.get(&number).map(|h| h.holder.owner.clone());
        let Some(owner) = owner.filter(|_| !is_early) else { return Vec::new() };
        self.shed_at = Some(now);
        let missing = self.missing(number, lack, victims);
        let eligible = |holding: &&Holding| {
            let is_eligible = match holding.holder.purpose {
                Purpose::Body => holding.reading.is_some(),
                Purpose::Answer | Purpose::Stream => victims != Victims::StalledBodies,
                Purpose::Transfer => false,
            };
            is_eligible
                && holding.size > Size::ZERO
                && (lack.cause != Cause::Owner || holding.holder.owner == owner)
        };
        let candidates = self.holdings.iter().filter(|(other, _)| **other != number);
        let candidates = candidates.filter(|(_, holding)| eligible(holding));
        let (mut freed, mut found) = (Size::ZERO, Vec::new());
        for (other, holding) in candidates {
            let stall = holding.stall(now);
            let is_later =
                victims == Victims::StalledOrLaterBodies && holding.is_growing && *other > number;
            if holding.is_shed {
                freed = freed.plus(holding.size);
            } else if stall >= MIN_STALL || is_later {
                let steps = stall.as_millis() / STALL_STEP.as_millis();
                found.push((steps, holding.size, holding.holder.class, *other));
            }
        }
        found.sort_unstable_by(|a, b| b.cmp(a));
        let mut shed = Vec::new();
        for (_, held, _, other) in found {
            if freed >= missing {
                break;
            }
            freed = freed.plus(held);
            shed.push(other);
            if let Some(holding) = self.holdings.get_mut(&other) {
                holding.is_shed = true;
            }
        }
        shed
    }

    /// What has to become free for a holding: for all to be below the fill level, or for its owner to
    /// keep within its part of what is free then.
    fn missing(&self, number: Number, lack: Lack, victims: Victims) -> Size {
        let (limit, after) = (self.bounds.total.fraction(lack.level), self.total.plus(lack.size));
        let held = self.holdings.get(&number).map(|h| self.of_owner(&h.holder.owner));
        let held = held.unwrap_or_default().plus(lack.size);
        // With `x` freed of the owner's: held - x = factor * (limit - after + x).
        let over = held.plus(after.fraction(OWNER_FACTOR)).less(limit.fraction(OWNER_FACTOR));
        let (by_total, by_owner) = (after.less(limit), over.fraction(1.0 / (1.0 + OWNER_FACTOR)));
        match (lack.cause, victims) {
            (Cause::Owner, _) => by_owner.max(lack.size),
            // What is shed for a body is the space of later ones, which take it back otherwise.
            (_, Victims::StalledBodies | Victims::StalledOrLaterBodies) => by_total.max(by_owner),
            (Cause::Memory | Cause::Link | Cause::Waiting, Victims::Stalled) => by_total,
        }
    }
}
