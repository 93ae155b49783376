//! The lease on a service: who may give orders to its engines.
//!
//! The lease is one object of the platform's store, changed by conditional update. What goes wrong
//! without care: a holder that was paused believes that it still holds; an answer to a write is
//! lost although the write took effect; the clocks of two machines differ. So a holder counts its
//! time from before it asked, on a clock that counts suspension, and looks again as the last thing
//! before it sends an order; a challenger takes over only after the object stood unchanged for the
//! whole term, by its own clock and from its own first sight of it; a write whose answer was lost
//! is settled by reading whose it is. No time of day is ever compared between machines.

use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};
use smallvec::SmallVec;

use crate::id::{Epoch, Incarnation, Name, Revision};

/// One life of a node, as the holder of leases.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize, Deserialize)]
pub struct Holder {
    /// The node.
    pub name: Name,
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
}

/// How long a lease holds.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Term {
    /// For how long a write gives authority to its holder.
    pub ttl: Duration,
    /// By how much a challenger waits longer, for clocks that run at different speeds.
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
        expected: Option<Revision>,
        /// The new content.
        record: Record,
    },
}

/// What came of a write.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Written {
    /// It took effect and made this revision.
    Done(Revision),
    /// The object had another revision.
    Conflict,
    /// No answer came: it may have taken effect.
    Lost,
}

#[derive(Clone, Debug, Eq, Hash, PartialEq)]
struct Seen {
    revision: Option<Revision>,
    record: Record,
    first: Instant,
}

#[derive(Clone, Debug, Eq, Hash, PartialEq)]
struct Pending {
    record: Record,
    sent: Instant,
}

/// A node's part in the lease of one service.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct Lease {
    me: Holder,
    seen: Option<Seen>,
    pending: Option<Pending>,
    held_until: Option<Instant>,
    read_wanted: bool,
}

impl Lease {
    /// A lease of which nothing is known yet.
    pub fn new(me: Holder) -> Self {
        Self { me, seen: None, pending: None, held_until: None, read_wanted: true }
    }

    /// The lease's content as last seen.
    pub fn record(&self) -> Option<&Record> {
        self.seen.as_ref().map(|s| &s.record)
    }

    /// The fencing number, if this node may give orders at `now`. Ask as the last thing before an
    /// order is sent: a process that was paused between asking and sending has lost its authority
    /// without noticing.
    pub fn authority(&self, now: Instant) -> Option<Epoch> {
        let until = self.held_until?;
        let seen = self.seen.as_ref()?;
        (now < until && self.is_mine(&seen.record)).then_some(seen.record.epoch)
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
        let next = if self.is_mine(&seen.record) {
            self.renewal(now, term, wanted, &seen, &is_gone)
        } else if wanted {
            self.takeover(now, term, &seen, &is_gone)
        } else {
            None
        };
        let record = next?;
        if !self.is_mine(&record) {
            // Authority ends before the release can be seen by anyone.
            self.held_until = None;
        }
        self.pending = Some(Pending { record: record.clone(), sent: now });
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
            record.holder = None;
            return Some(record);
        }
        let half_over = self.held_until.is_none_or(|until| now + term.ttl / 2 >= until);
        (half_over || record.doubtful.len() < seen.record.doubtful.len()).then_some(record)
    }

    fn takeover(
        &self,
        now: Instant,
        term: Term,
        seen: &Seen,
        is_gone: &impl Fn(&Holder) -> bool,
    ) -> Option<Record> {
        let silent = now.saturating_duration_since(seen.first) >= term.ttl + term.margin;
        let old = seen.record.holder.as_ref();
        let known_gone = old.is_none_or(is_gone);
        if !known_gone && !silent {
            return None;
        }
        let mut doubtful = seen.record.doubtful.clone();
        if let Some(old) = old {
            doubtful.push(old.clone());
        }
        doubtful.retain(|h| !is_gone(h));
        Some(Record {
            holder: Some(self.me.clone()),
            epoch: seen.record.epoch.next(),
            beat: 0,
            doubtful,
        })
    }

    /// Takes in what a read gave: the revision and content, or nothing where there is no object.
    pub fn take_read(&mut self, now: Instant, term: Term, found: Option<(Revision, Record)>) {
        let (revision, record) = match found {
            Some((revision, record)) => (Some(revision), record),
            None => (None, Record::default()),
        };
        let stale = |seen: &Seen| revision < seen.revision;
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
        if let Some(pending) = self.pending.take()
            && pending.record == record
            && self.is_mine(&record)
        {
            self.held_until = Some(pending.sent + term.ttl);
        } else if !self.is_mine(&record) {
            self.held_until = None;
        }
        self.seen = Some(Seen { revision, record, first: now });
    }

    /// Takes in what came of the write that [`Lease::poll`] asked for.
    pub fn take_written(&mut self, now: Instant, term: Term, written: Written) {
        match written {
            Written::Done(revision) => {
                let Some(pending) = self.pending.take() else { return };
                if self.is_mine(&pending.record) {
                    self.held_until = Some(pending.sent + term.ttl);
                }
                self.seen =
                    Some(Seen { revision: Some(revision), record: pending.record, first: now });
            }
            Written::Conflict => {
                self.pending = None;
                self.read_wanted = true;
            }
            Written::Lost => self.read_wanted = true,
        }
    }

    /// Asks for a read at the next poll, as when a watch has fired or a poll interval has passed.
    pub fn want_read(&mut self) {
        self.read_wanted = true;
    }

    /// The read that settles a lost write must be done although a write is pending.
    pub fn wants_settling(&mut self) -> bool {
        self.pending.is_some() && std::mem::take(&mut self.read_wanted)
    }
}
