//! A lease on a task that one node at a time performs, such as sending role changes to engines.
//!
//! The lease is one object in the platform's store and is changed by conditional writes. Three
//! failures have to be handled: a holder that was paused believes that it still holds the lease;
//! the answer to a write is lost although the write took effect; the clocks of two machines differ.
//! Therefore:
//!
//! - A holder counts its term from before it sent the write, on a clock that includes suspension,
//!   and checks its authority as the last step before sending an order.
//! - A challenger takes over only after the object has been unchanged for the whole term plus a
//!   margin, measured by its own clock from when it first read that version.
//! - A write with a lost answer is resolved by reading the object.
//! - A new holder that follows one which released the lease, or whose process ended, waits before
//!   its first call. Otherwise calls of two alternating holders could arrive out of order.
//! - Times of day are never compared between machines.
//!
//! The store may be restored from a backup that lacks the last writes, and then reuses revisions. A
//! holder keeps its authority for the rest of its term and writes its record again. No other node
//! takes over based on restored data until the term of any holder missing from it must have
//! expired, like the grace period of a lock service after recovery. A write sent in an earlier era
//! that is applied in a later one gives no authority. Fencing tokens increase with the store's
//! history, so none is reused.

use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};
use smallvec::SmallVec;

use crate::history::{Era, Point};
use crate::id::{Epoch, Incarnation, NodeId};

/// A node process as holder of leases.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize, Deserialize)]
pub struct Holder {
    /// The node.
    pub name: NodeId,
    /// The incarnation of the node's process.
    pub incarnation: Incarnation,
}

/// The stored lease object.
#[derive(Clone, Debug, Default, Eq, Hash, PartialEq, Serialize, Deserialize)]
pub struct Record {
    /// The current holder; `None` after a release.
    pub holder: Option<Holder>,
    /// The fencing token of the current holder.
    pub epoch: Epoch,
    /// Incremented by each renewal, so that an unchanged object means that the holder is silent.
    pub beat: u64,
    /// Earlier holders that neither released the lease nor are known to have ended. An engine that
    /// ignores fencing tokens gets no orders while one of them may still be running.
    pub doubtful: SmallVec<[Holder; 2]>,
    /// The node that released the lease, while it has no holder.
    #[serde(default)]
    pub former: Option<NodeId>,
    /// The era of the store in which this record was written.
    #[serde(default)]
    pub era: Era,
}

/// The duration of a lease.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Term {
    /// How long a successful write authorizes its holder.
    pub ttl: Duration,
    /// How much longer a challenger waits. It covers differences in clock speed and separates the
    /// calls of two holders.
    pub margin: Duration,
}

impl Default for Term {
    fn default() -> Self {
        Self { ttl: Duration::from_secs(10), margin: Duration::from_secs(2) }
    }
}

/// A store operation that the caller has to perform.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub enum Action {
    /// Read the object.
    Read,
    /// Write the object if it still has the expected revision. `None` means that it must not exist.
    Write {
        /// The required current revision.
        expected: Option<Point>,
        /// The new content.
        record: Record,
    },
}

/// The result of a write.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Written {
    /// It took effect and created this revision.
    Done(Point),
    /// The object had another revision.
    Conflict,
    /// No answer arrived; the write may have taken effect.
    Lost,
}

#[derive(Clone, Debug, Eq, Hash, PartialEq)]
struct Observed {
    /// The era in which the record was read.
    era: Era,
    revision: Option<Point>,
    record: Record,
    /// Set if the record names this node but gives it no authority: it was written before a restore
    /// of the store, or sent before one and applied after it.
    is_void: bool,
    first_seen: Instant,
    /// After a release, the latest time at which the previous holder can have acted.
    predecessor_active_until: Instant,
}

impl Observed {
    /// The position in the store's history at which the record was read, as far as known.
    fn point(&self) -> Point {
        self.revision.unwrap_or(Point::new(self.era, 0))
    }
}

#[derive(Clone, Debug, Eq, Hash, PartialEq)]
struct Pending {
    record: Record,
    sent: Instant,
    /// When the write starts to give authority.
    from: Instant,
    /// The era in which the write was sent.
    era: Era,
    /// The latest time at which this node can have acted as holder before the write.
    active_until: Instant,
}

/// One node's view of a lease.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct Lease {
    me: Holder,
    seen: Option<Observed>,
    pending: Option<Pending>,
    held_until: Option<Instant>,
    /// When this node may start to act as the current holder.
    held_from: Option<Instant>,
    read_requested: bool,
    /// The current era and when it became known. `None` if the store does not report eras.
    current_era: Option<(Era, Instant)>,
    /// Whether the era has changed since this process started.
    era_changed: bool,
    /// Whether this node's record must be written again because a restored backup lacks it.
    needs_rewrite: bool,
}

impl Lease {
    /// Creates a lease whose state has not been read yet.
    pub fn new(me: Holder) -> Self {
        Self {
            me,
            seen: None,
            pending: None,
            held_until: None,
            held_from: None,
            read_requested: true,
            current_era: None,
            era_changed: false,
            needs_rewrite: false,
        }
    }

    /// Sets the store's current era and when it became known. If the era changed, the lease is read
    /// again.
    pub fn set_era(&mut self, era: Era, since: Instant) {
        let before = self.current_era.replace((era, since));
        if before.is_some_and(|(before, _)| before != era) {
            self.era_changed = true;
            self.read_requested = true;
        }
    }

    fn era(&self) -> Era {
        self.current_era.map(|(era, _)| era).unwrap_or_default()
    }

    /// The lease record as last read or written.
    pub fn record(&self) -> Option<&Record> {
        self.seen.as_ref().map(|s| &s.record)
    }

    /// Returns the fencing token if this node may act at `now`. Call this as the last step before
    /// sending an order: a process that is paused in between loses its authority without noticing.
    pub fn authority(&self, now: Instant) -> Option<Epoch> {
        self.authority_for(now, Duration::ZERO)
    }

    /// Returns the fencing token if this node may make a call at `now` that takes up to `call` to
    /// arrive. A call that arrives after the end of the term could follow one of a successor.
    pub fn authority_for(&self, now: Instant, call: Duration) -> Option<Epoch> {
        let (from, until) = (self.held_from?, self.held_until?);
        let seen = self.seen.as_ref()?;
        let is_in_term = from <= now && now + call < until && !seen.is_void;
        (is_in_term && self.is_own(&seen.record)).then_some(seen.record.epoch)
    }

    /// Returns the fencing token and the end of the term if this node holds the lease at `now`.
    pub fn holding(&self, now: Instant) -> Option<(Epoch, Instant)> {
        let until = self.held_until.filter(|until| now < *until)?;
        let seen = self.seen.as_ref().filter(|seen| self.is_own(&seen.record))?;
        Some((seen.record.epoch, until))
    }

    /// Whether earlier holders may still be running.
    pub fn is_doubtful(&self) -> bool {
        self.record().is_some_and(|r| !r.doubtful.is_empty())
    }

    fn is_own(&self, record: &Record) -> bool {
        record.holder.as_ref() == Some(&self.me)
    }

    /// Returns the next action at `now`. `wanted` says whether this node should hold the lease, and
    /// `is_gone` whether the process of a holder is known to have ended.
    pub fn poll(
        &mut self,
        now: Instant,
        term: Term,
        wanted: bool,
        is_gone: impl Fn(&Holder) -> bool,
    ) -> Option<Action> {
        if self.pending.is_some() {
            return None;
        }
        if self.read_requested {
            self.read_requested = false;
            return Some(Action::Read);
        }
        let seen = self.seen.clone()?;
        let (mut record, from) = if self.is_own(&seen.record) && !seen.is_void {
            let record = self.renewed_record(now, term, wanted, &seen, &is_gone)?;
            (record, self.held_from.unwrap_or(now + term.margin))
        } else if wanted {
            self.takeover_record(now, term, &seen, &is_gone)?
        } else {
            return None;
        };
        let active_until = self.held_until.map_or(now, |until| until.min(now));
        if !self.is_own(&record) {
            // Give up authority before the release becomes visible.
            self.held_until = None;
        }
        record.era = self.era();
        let era = record.era;
        self.pending = Some(Pending { record: record.clone(), sent: now, from, era, active_until });
        Some(Action::Write { expected: seen.revision, record })
    }

    fn renewed_record(
        &self,
        now: Instant,
        term: Term,
        wanted: bool,
        seen: &Observed,
        is_gone: &impl Fn(&Holder) -> bool,
    ) -> Option<Record> {
        let mut record = seen.record.clone();
        record.beat += 1;
        record.doubtful.retain(|h| !is_gone(h));
        if !wanted {
            record.former = record.holder.take().map(|holder| holder.name);
            return Some(record);
        }
        let is_due = self.held_until.is_none_or(|until| now + term.ttl / 2 >= until);
        let has_fewer = record.doubtful.len() < seen.record.doubtful.len();
        (is_due || has_fewer || self.needs_rewrite).then_some(record)
    }

    fn takeover_record(
        &self,
        now: Instant,
        term: Term,
        seen: &Observed,
        is_gone: &impl Fn(&Holder) -> bool,
    ) -> Option<(Record, Instant)> {
        let is_silent = now.saturating_duration_since(seen.first_seen) >= term.ttl + term.margin;
        let previous = seen.record.holder.as_ref();
        let known_gone = previous.is_none_or(is_gone);
        let is_free = known_gone && self.covers_all_holders(now, term, seen);
        if !is_free && !is_silent {
            return None;
        }
        let mut doubtful = seen.record.doubtful.clone();
        if let Some(previous) = previous.filter(|previous| **previous != self.me) {
            doubtful.push(previous.clone());
        }
        doubtful.retain(|h| !is_gone(h));
        // A silent holder's last call was at least `margin` ago. Any other predecessor, including
        // this node itself, may have a call in flight.
        let waits = !is_silent && (previous.is_some() || seen.record.former.is_some());
        let record = Record {
            holder: Some(self.me.clone()),
            epoch: seen.record.epoch.next().max(Epoch(seen.point().number())),
            beat: 0,
            doubtful,
            former: None,
            era: self.era(),
        };
        let from =
            if previous.is_some() { now } else { seen.predecessor_active_until } + term.margin;
        Some((record, if waits { from.max(now) } else { now }))
    }

    /// Whether the observed record accounts for all holders of this era and the previous one: it
    /// was written in this era, or there is no record and all terms of the previous era have
    /// expired.
    fn covers_all_holders(&self, now: Instant, term: Term, seen: &Observed) -> bool {
        let Some((era, since)) = self.current_era else { return true };
        if seen.revision.is_some() {
            return seen.record.era == era;
        }
        now.saturating_duration_since(since) >= term.ttl + term.margin
    }

    /// Handles the result of a read: the position and content, or `None` if the object does not
    /// exist.
    pub fn on_read(&mut self, now: Instant, term: Term, found: Option<(Point, Record)>) {
        let (revision, record) = match found {
            Some((revision, record)) => (Some(revision), record),
            None => (None, Record::default()),
        };
        let era = revision.map_or(self.era(), |point| point.era);
        if self.seen.as_ref().is_some_and(|seen| era > seen.era) {
            self.on_restore(now, era, revision, record);
            return;
        }
        let stale = |seen: &Observed| (era, revision) < (seen.era, seen.revision);
        if self.seen.as_ref().is_some_and(stale) {
            // A read served from a stale replica must not bring an old holder back.
            self.read_requested = true;
            return;
        }
        let unchanged = self.seen.as_ref().is_some_and(|s| s.revision == revision);
        if unchanged {
            // A write with a lost answer may still be applied. The next conditional write on this
            // revision settles which of the two takes effect.
            self.pending = None;
            return;
        }
        let mut is_void = false;
        if let Some(pending) = self.pending.take()
            && pending.record == record
            && pending.era == era
            && self.is_own(&record)
        {
            self.held_until = Some(pending.sent + term.ttl);
            self.held_from = Some(pending.from);
        } else if !self.is_own(&record) {
            self.held_until = None;
        } else {
            // A write sent in an earlier era may have replaced another holder's record in this one.
            is_void = self.era_changed;
        }
        let predecessor_active_until = self.last_activity(now, term, &record);
        self.seen = Some(Observed {
            era,
            revision,
            record,
            is_void,
            first_seen: now,
            predecessor_active_until,
        });
    }

    /// Handles the first read after a restore of the store. A holder within its term keeps the
    /// lease, and rewrites its record, unless another node has taken over in the new era.
    fn on_restore(&mut self, now: Instant, era: Era, revision: Option<Point>, found: Record) {
        self.era_changed = true;
        self.pending = None;
        let before = self.seen.take();
        let own = before.map(|seen| seen.record).filter(|record| {
            let holds = self.held_until.is_some_and(|until| now < until);
            holds && self.is_own(record) && found.epoch <= record.epoch
        });
        self.needs_rewrite = own.is_some();
        if own.is_none() {
            self.held_until = None;
        }
        let is_void = own.is_none() && self.is_own(&found);
        let record = own.unwrap_or(found);
        self.seen = Some(Observed {
            era,
            revision,
            record,
            is_void,
            first_seen: now,
            predecessor_active_until: now,
        });
    }

    /// Returns when the holder that released the lease can have acted last. If it had not renewed
    /// since the previously observed record, its term was over by then.
    fn last_activity(&self, now: Instant, term: Term, record: &Record) -> Instant {
        let before = self.seen.as_ref().filter(|seen| {
            seen.record.epoch == record.epoch && seen.record.beat + 1 == record.beat
        });
        before.map_or(now, |seen| now.min(seen.first_seen + term.ttl))
    }

    /// Handles the result of the write returned by [`Lease::poll`].
    pub fn on_written(&mut self, now: Instant, term: Term, written: Written) {
        match written {
            Written::Done(revision) => {
                let Some(pending) = self.pending.take() else { return };
                if pending.era != revision.era && self.current_era.is_some() {
                    self.read_requested = true;
                    return;
                }
                self.needs_rewrite = false;
                if self.is_own(&pending.record) {
                    self.held_until = Some(pending.sent + term.ttl);
                    self.held_from = Some(pending.from);
                }
                let revision = Some(revision);
                // After a release, this node's last call was made within its last term, which may
                // have ended while the store was away.
                let predecessor_active_until =
                    if self.is_own(&pending.record) { now } else { pending.active_until };
                let record = pending.record;
                let (era, is_void) = (pending.era, false);
                self.seen = Some(Observed {
                    era,
                    revision,
                    record,
                    is_void,
                    first_seen: now,
                    predecessor_active_until,
                });
            }
            Written::Conflict => {
                self.pending = None;
                self.read_requested = true;
            }
            Written::Lost => self.read_requested = true,
        }
    }

    /// Requests a read at the next poll, for instance after a watch event or a poll interval.
    pub fn request_read(&mut self) {
        self.read_requested = true;
    }

    /// Returns whether a read is due that resolves a pending write with a lost answer, and clears
    /// the request.
    pub fn take_settling_read(&mut self) -> bool {
        self.pending.is_some() && std::mem::take(&mut self.read_requested)
    }
}
