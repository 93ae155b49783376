//! The lease on a duty that one node at a time has, such as orders to engines.
//!
//! The lease is one object of the platform's store, changed by conditional update. What goes wrong
//! without care: a holder that was paused believes that it still holds; an answer to a write is
//! lost although the write took effect; the clocks of two machines differ. So a holder counts its
//! time from before it asked, on a clock that counts suspension, and looks again as the last thing
//! before it sends an order; a challenger takes over only after the object stood unchanged for the
//! whole term, by its own clock and from its own first sight of it; a write whose answer was lost
//! is settled by reading whose it is. Whoever takes over from a holder that has given the lease back,
//! or whose process has ended, waits before its first call: calls of two holders that alternate
//! quickly could arrive out of order. No time of day is ever compared between machines.
//!
//! The store may come back from a copy that lacks the last writes, and give revisions out again. A
//! holder keeps its authority for the rest of its term and writes its record again, over the copy's.
//! Nobody takes the lease over on the word of a copy before the terms have run out that a holder it
//! does not show can have: the grace period of a lock service after its recovery. A write that was
//! made in a former era and arrives in a later one gives no authority, whatever it replaces. Fencing
//! numbers grow with the store's points, so that none is given out twice.

use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};
use smallvec::SmallVec;

use crate::history::{Era, Point};
use crate::id::{Epoch, Incarnation, NodeId};

/// One life of a node, as the holder of leases.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize, Deserialize)]
pub struct Holder {
    /// The node.
    pub name: NodeId,
    /// Its life.
    pub incarnation: Incarnation,
}

/// The lease object.
#[derive(Clone, Debug, Default, Eq, Hash, PartialEq, Serialize, Deserialize)]
pub struct Record {
    /// Who holds it; none when it was given back.
    pub holder: Option<Holder>,
    /// The fencing number of this holding.
    pub epoch: Epoch,
    /// Goes up with each renewal, so that an unchanged object means a silent holder.
    pub beat: u64,
    /// Earlier holders that neither gave the lease back nor are known to be gone. An engine that
    /// ignores fencing numbers gets no orders while any of them may still be at work.
    pub doubtful: SmallVec<[Holder; 2]>,
    /// The node that gave the lease back, while nobody holds it.
    #[serde(default)]
    pub former: Option<NodeId>,
    /// The era of the store in which this was written.
    #[serde(default)]
    pub era: Era,
}

/// How long a lease holds.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Term {
    /// For how long a write gives authority to its holder.
    pub ttl: Duration,
    /// By how much a challenger waits longer, for clocks that run at different speeds and so that the
    /// calls of two holders are apart.
    pub margin: Duration,
}

impl Default for Term {
    fn default() -> Self {
        Self { ttl: Duration::from_secs(10), margin: Duration::from_secs(2) }
    }
}

/// What a lease wants done.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub enum Action {
    /// Read the object.
    Read,
    /// Write the object if its revision is still the expected one; none means that it must not
    /// exist yet.
    Write {
        /// The revision that the object must have.
        expected: Option<Point>,
        /// The new content.
        record: Record,
    },
}

/// What came of a write.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Written {
    /// It took effect and made this revision.
    Done(Point),
    /// The object had another revision.
    Conflict,
    /// No answer came: it may have taken effect.
    Lost,
}

#[derive(Clone, Debug, Eq, Hash, PartialEq)]
struct Seen {
    /// The era in which it was read.
    era: Era,
    revision: Option<Point>,
    record: Record,
    /// Whether the record, though it names this node, gives it no authority: it is from before a return
    /// of the store from a copy, or was written across one.
    is_void: bool,
    first: Instant,
    /// The latest time at which a holder before it can have acted, once the lease has been given back.
    acted: Instant,
}

impl Seen {
    /// The point of the store's history at which it was read, as far as it is known.
    fn point(&self) -> Point {
        self.revision.unwrap_or(Point::new(self.era, 0))
    }
}

#[derive(Clone, Debug, Eq, Hash, PartialEq)]
struct Pending {
    record: Record,
    sent: Instant,
    /// From when on it gives authority.
    from: Instant,
    /// The era in which it was sent.
    era: Era,
}

/// A node's part in the lease of one service.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct Lease {
    me: Holder,
    seen: Option<Seen>,
    pending: Option<Pending>,
    held_until: Option<Instant>,
    /// From when on this node may act in its present holding.
    held_from: Option<Instant>,
    read_wanted: bool,
    /// The present era, and since when it has been known; none where the store names no eras.
    present: Option<(Era, Instant)>,
    /// Whether the era has changed in this process's life.
    has_crossed: bool,
    /// Whether this node's record has to be written again, as the store has come back without it.
    is_lost: bool,
}

impl Lease {
    /// A lease of which nothing is known yet.
    pub fn new(me: Holder) -> Self {
        Self {
            me,
            seen: None,
            pending: None,
            held_until: None,
            held_from: None,
            read_wanted: true,
            present: None,
            has_crossed: false,
            is_lost: false,
        }
    }

    /// Takes in the store's present era, and since when it has been known. What was read in another one
    /// is read again.
    pub fn set_era(&mut self, era: Era, since: Instant) {
        let before = self.present.replace((era, since));
        if before.is_some_and(|(before, _)| before != era) {
            self.has_crossed = true;
            self.read_wanted = true;
        }
    }

    fn era(&self) -> Era {
        self.present.map(|(era, _)| era).unwrap_or_default()
    }

    /// The lease's content as last seen.
    pub fn record(&self) -> Option<&Record> {
        self.seen.as_ref().map(|s| &s.record)
    }

    /// The fencing number, if this node may give orders at `now`. Ask as the last thing before an
    /// order is sent: a process that was paused between asking and sending has lost its authority
    /// without noticing.
    pub fn authority(&self, now: Instant) -> Option<Epoch> {
        self.authority_for(now, Duration::ZERO)
    }

    /// The fencing number, if this node may make a call at `now` that arrives within `call`. A call
    /// that arrived after the end of the term could follow one of a successor.
    pub fn authority_for(&self, now: Instant, call: Duration) -> Option<Epoch> {
        let (from, until) = (self.held_from?, self.held_until?);
        let seen = self.seen.as_ref()?;
        let in_term = from <= now && now + call < until && !seen.is_void;
        (in_term && self.is_mine(&seen.record)).then_some(seen.record.epoch)
    }

    /// Until when this node holds the lease, if it does at `now`, and its number.
    pub fn holding(&self, now: Instant) -> Option<(Epoch, Instant)> {
        let until = self.held_until.filter(|until| now < *until)?;
        let seen = self.seen.as_ref().filter(|seen| self.is_mine(&seen.record))?;
        Some((seen.record.epoch, until))
    }

    /// Whether earlier holders may still be at work.
    pub fn is_doubtful(&self) -> bool {
        self.record().is_some_and(|r| !r.doubtful.is_empty())
    }

    fn is_mine(&self, record: &Record) -> bool {
        record.holder.as_ref() == Some(&self.me)
    }

    /// What to do at `now`. `wanted` says whether this node should hold the lease; `is_gone`
    /// whether a holder's process is known to have ended.
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
        if self.read_wanted {
            self.read_wanted = false;
            return Some(Action::Read);
        }
        let seen = self.seen.clone()?;
        let (mut record, from) = if self.is_mine(&seen.record) && !seen.is_void {
            let record = self.renewal(now, term, wanted, &seen, &is_gone)?;
            (record, self.held_from.unwrap_or(now + term.margin))
        } else if wanted {
            self.takeover(now, term, &seen, &is_gone)?
        } else {
            return None;
        };
        if !self.is_mine(&record) {
            // Authority ends before the release can be seen by anyone.
            self.held_until = None;
        }
        record.era = self.era();
        self.pending = Some(Pending { record: record.clone(), sent: now, from, era: record.era });
        Some(Action::Write { expected: seen.revision, record })
    }

    fn renewal(
        &self,
        now: Instant,
        term: Term,
        wanted: bool,
        seen: &Seen,
        is_gone: &impl Fn(&Holder) -> bool,
    ) -> Option<Record> {
        let mut record = seen.record.clone();
        record.beat += 1;
        record.doubtful.retain(|h| !is_gone(h));
        if !wanted {
            record.former = record.holder.take().map(|holder| holder.name);
            return Some(record);
        }
        let half_over = self.held_until.is_none_or(|until| now + term.ttl / 2 >= until);
        let fewer = record.doubtful.len() < seen.record.doubtful.len();
        (half_over || fewer || self.is_lost).then_some(record)
    }

    fn takeover(
        &self,
        now: Instant,
        term: Term,
        seen: &Seen,
        is_gone: &impl Fn(&Holder) -> bool,
    ) -> Option<(Record, Instant)> {
        let silent = now.saturating_duration_since(seen.first) >= term.ttl + term.margin;
        let old = seen.record.holder.as_ref();
        let known_gone = old.is_none_or(is_gone);
        let is_free = known_gone && self.is_of_present(now, term, seen);
        if !is_free && !silent {
            return None;
        }
        let mut doubtful = seen.record.doubtful.clone();
        if let Some(old) = old.filter(|old| **old != self.me) {
            doubtful.push(old.clone());
        }
        doubtful.retain(|h| !is_gone(h));
        // A silent holder's last call lies the margin back already.
        // Any other may have one under way, also this node itself.
        let waits = !silent && (old.is_some() || seen.record.former.is_some());
        let record = Record {
            holder: Some(self.me.clone()),
            epoch: seen.record.epoch.next().max(Epoch(seen.point().number())),
            beat: 0,
            doubtful,
            former: None,
            era: self.era(),
        };
        let from = if old.is_some() { now } else { seen.acted } + term.margin;
        Some((record, if waits { from.max(now) } else { now }))
    }

    /// Whether what was seen shows all holders of the present era and the one before: it was written in
    /// this era, or there is nothing and terms of the era before have run out.
    fn is_of_present(&self, now: Instant, term: Term, seen: &Seen) -> bool {
        let Some((era, since)) = self.present else { return true };
        if seen.revision.is_some() {
            return seen.record.era == era;
        }
        now.saturating_duration_since(since) >= term.ttl + term.margin
    }

    /// Takes in what a read gave: the point and content, or nothing where there is no object.
    pub fn on_read(&mut self, now: Instant, term: Term, found: Option<(Point, Record)>) {
        let (revision, record) = match found {
            Some((revision, record)) => (Some(revision), record),
            None => (None, Record::default()),
        };
        let era = revision.map_or(self.era(), |point| point.era);
        if self.seen.as_ref().is_some_and(|seen| era > seen.era) {
            self.cross(now, era, revision, record);
            return;
        }
        let stale = |seen: &Seen| (era, revision) < (seen.era, seen.revision);
        if self.seen.as_ref().is_some_and(stale) {
            // A read that was served from an old copy must not bring an old holder back.
            self.read_wanted = true;
            return;
        }
        let unchanged = self.seen.as_ref().is_some_and(|s| s.revision == revision);
        if unchanged {
            // Once a lost write is known not to have happened yet it still may; the next
            // conditional write on this revision decides between them.
            self.pending = None;
            return;
        }
        let mut is_void = false;
        if let Some(pending) = self.pending.take()
            && pending.record == record
            && pending.era == era
            && self.is_mine(&record)
        {
            self.held_until = Some(pending.sent + term.ttl);
            self.held_from = Some(pending.from);
        } else if !self.is_mine(&record) {
            self.held_until = None;
        } else {
            // A write of a former era may have arrived in this one, in place of another holder's.
            is_void = self.has_crossed;
        }
        let acted = self.last_act(now, term, &record);
        self.seen = Some(Seen { era, revision, record, is_void, first: now, acted });
    }

    /// Takes in the first read after the store came back from a copy. A holder whose term lasts goes on,
    /// unless the lease has been taken over in the new era, and has its record written again.
    fn cross(&mut self, now: Instant, era: Era, revision: Option<Point>, found: Record) {
        self.has_crossed = true;
        self.pending = None;
        let before = self.seen.take();
        let mine = before.map(|seen| seen.record).filter(|record| {
            let holds = self.held_until.is_some_and(|until| now < until);
            holds && self.is_mine(record) && found.epoch <= record.epoch
        });
        self.is_lost = mine.is_some();
        if mine.is_none() {
            self.held_until = None;
        }
        let is_void = mine.is_none() && self.is_mine(&found);
        let record = mine.unwrap_or(found);
        self.seen = Some(Seen { era, revision, record, is_void, first: now, acted: now });
    }

    /// When the holder that gave the lease back can have acted last. If it has not renewed since the
    /// record that was seen before, its term had run out by then.
    fn last_act(&self, now: Instant, term: Term, record: &Record) -> Instant {
        let before = self.seen.as_ref().filter(|seen| {
            seen.record.epoch == record.epoch && seen.record.beat + 1 == record.beat
        });
        before.map_or(now, |seen| now.min(seen.first + term.ttl))
    }

    /// Takes in what came of the write that [`Lease::poll`] asked for.
    pub fn on_written(&mut self, now: Instant, term: Term, written: Written) {
        match written {
            Written::Done(revision) => {
                let Some(pending) = self.pending.take() else { return };
                if pending.era != revision.era && self.present.is_some() {
                    self.read_wanted = true;
                    return;
                }
                self.is_lost = false;
                if self.is_mine(&pending.record) {
                    self.held_until = Some(pending.sent + term.ttl);
                    self.held_from = Some(pending.from);
                }
                let revision = Some(revision);
                let record = pending.record;
                let (era, is_void) = (pending.era, false);
                self.seen = Some(Seen { era, revision, record, is_void, first: now, acted: now });
            }
            Written::Conflict => {
                self.pending = None;
                self.read_wanted = true;
            }
            Written::Lost => self.read_wanted = true,
        }
    }

    /// Asks for a read at the next poll, as when a watch has fired or a poll interval has passed.
    pub fn request_read(&mut self) {
        self.read_wanted = true;
    }

    /// The read that settles a lost write must be done although a write is pending.
    pub fn take_settling_read(&mut self) -> bool {
        self.pending.is_some() && std::mem::take(&mut self.read_wanted)
    }
}
