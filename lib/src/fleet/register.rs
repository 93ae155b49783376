//! All runners that a node knows, by the platform's register.
//!
//! The platform forgets a runner that has been silent, also while its store is away and hears
//! nobody. Runners that lapsed so are back within two seconds of the store's return, so an entry
//! that is missing at the first look after an outage is doubted and not dropped at once: dropping
//! all runners of a service when the store comes back would refuse requests that could be served.
//!
//! A runner that starts again under its id holds and knows nothing of before: it takes the place of
//! its former life as a runner of which only the entry is known. A late entry of a former life
//! changes nothing, and what was begun in one life ends in it ([`Stay`]).
//!
//! A store that comes back from a copy shows what runners wrote before what is known of them, in a
//! later era. A runner's own count of its writes tells the two apart.

use std::collections::{HashMap, VecDeque};
use std::time::Instant;

use super::cache::{Part, Progress};
use super::engine::{Pace, Work};
use super::health::Record;
use super::load::{Class, Load};
use super::pool::{self, Pool};
use super::runner::{Closed, Entry, Runner, State, Stay, Tag};
use crate::history::Point;
use crate::id::{NodeId, RunnerId, ServiceId};

/// What a change of the register did.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Change {
    /// A runner that was not known.
    Added,
    /// A runner that has started again under its id.
    Reborn,
    /// A runner that takes no new work any more.
    Leaving,
    /// A runner whose entry is missing; it is kept for a while.
    Doubted,
    /// A runner that is gone.
    Removed,
    /// Another change.
    Updated,
    /// Nothing new.
    None,
    /// Nothing, though it came later than what is known: it is of a former life.
    Former,
}

/// How many runners that have left are remembered, for a store that comes back from a copy in which
/// they are still there.
const MOST_LEFT: usize = 512;

/// The runners.
#[derive(Clone, Debug, Default)]
pub struct Register {
    runners: HashMap<RunnerId, Runner>,
    tags: HashMap<Tag, RunnerId>,
    doubted: HashMap<RunnerId, Instant>,
    /// The last entries of runners that have left, oldest first.
    left: VecDeque<Entry>,
    /// How many stays there have been.
    stays: u64,
    /// How many pools each service has.
    pools: HashMap<ServiceId, u16>,
    /// Whether runners have come, gone or turned since the pools were divided.
    is_undivided: bool,
}

impl Register {
    /// Takes in an entry. One that is older than what is known, or of a former life, changes nothing.
    pub fn apply(&mut self, entry: Entry) -> Change {
        let Some(runner) = self.runners.get_mut(&entry.id) else {
            if self.left.iter().any(|left| entry.is_shown_again(left)) {
                return Change::Former;
            }
            self.insert(entry);
            return Change::Added;
        };
        // A doubted runner that is back has written anew. What is known of it comes again from nodes that
        // have not heard yet that its entry is missing, and must not keep it in use.
        if entry.at <= runner.entry.at {
            return Change::None;
        }
        if entry.is_shown_again(&runner.entry) {
            let was_doubted = self.doubted.remove(&entry.id).is_some();
            runner.entry.at = entry.at;
            return if was_doubted { Change::Updated } else { Change::None };
        }
        match (entry.born, runner.entry.born) {
            // The runner says when it began; who does not is not the runner.
            (None, Some(_)) => return self.disown(&entry.id, entry.at),
            (new, known) if new < known => return Change::Former,
            _ => {}
        }
        self.doubted.remove(&entry.id);
        if entry.born > runner.entry.born {
            let former = runner.entry.tag();
            self.tags.remove(&former);
            self.insert(entry);
            return Change::Reborn;
        }
        let leaves = runner.entry.state == State::Ready && entry.state == State::Draining;
        let turned = runner.entry.stage != entry.stage;
        runner.entry = entry;
        if turned {
            // What was learned of it in its other stage says nothing of this one.
            runner.pace = Pace::default();
            runner.health = Record::default();
            runner.cache.clear();
            runner.reserved = None;
            self.is_undivided = true;
        }
        if leaves { Change::Leaving } else { Change::Updated }
    }

    /// Takes in that what stands under the id of a runner since `at` is not of that runner's making.
    /// There is no runner to use under that id then, and nothing to doubt: the store has just shown what
    /// it has.
    pub fn disown(&mut self, id: &RunnerId, at: Point) -> Change {
        match self.runners.get(id) {
            Some(runner) if runner.entry.at < at => {
                self.drop_runner(id);
                Change::Removed
            }
            _ => Change::None,
        }
    }

    fn insert(&mut self, entry: Entry) {
        self.stays += 1;
        self.is_undivided = true;
        self.tags.insert(entry.tag(), entry.id.clone());
        self.runners.insert(entry.id.clone(), Runner::new(entry, self.stays));
    }

    /// Takes in that an entry is gone. Where that is in doubt, because the store has been away, the
    /// runner is kept until the doubt is over.
    pub fn remove(&mut self, id: &RunnerId, doubt: Option<Instant>) -> Change {
        let Some(runner) = self.runners.get(id) else { return Change::None };
        if let Some(until) = doubt
            && runner.is_last_resort()
        {
            self.doubted.entry(id.clone()).or_insert(until);
            return Change::Doubted;
        }
        self.left.push_back(runner.entry.clone());
        if self.left.len() > MOST_LEFT {
            self.left.pop_front();
        }
        self.drop_runner(id);
        Change::Removed
    }

    fn drop_runner(&mut self, id: &RunnerId) {
        self.doubted.remove(id);
        if let Some(runner) = self.runners.remove(id) {
            self.is_undivided = true;
            self.tags.remove(&runner.entry.tag());
        }
    }

    /// Takes in a whole list: entries that are not in it are gone.
    pub fn replace(
        &mut self,
        entries: Vec<Entry>,
        doubt: Option<Instant>,
    ) -> Vec<(RunnerId, Change)> {
        let missing: Vec<RunnerId> = self
            .runners
            .keys()
            .filter(|id| !entries.iter().any(|e| e.id == **id))
            .cloned()
            .collect();
        let mut changes: Vec<(RunnerId, Change)> = Vec::new();
        for entry in entries {
            let id = entry.id.clone();
            changes.push((id, self.apply(entry)));
        }
        for id in missing {
            let change = self.remove(&id, doubt);
            changes.push((id, change));
        }
        changes.retain(|(_, change)| !matches!(change, Change::None | Change::Former));
        changes
    }

    /// Drops doubted runners whose time is over, and names them.
    pub fn expire(&mut self, now: Instant) -> Vec<RunnerId> {
        let over: Vec<RunnerId> = self
            .doubted
            .iter()
            .filter(|(_, until)| **until <= now)
            .map(|(id, _)| id.clone())
            .collect();
        for id in &over {
            self.drop_runner(id);
        }
        over
    }

    /// Divides the runners into pools anew, if they have changed.
    pub fn divide(&mut self) {
        if std::mem::take(&mut self.is_undivided) {
            self.pools = pool::divide(&mut self.runners);
        }
    }

    /// How many pools a service has.
    pub fn pools(&self, service: &ServiceId) -> u16 {
        self.pools.get(service).copied().unwrap_or(1)
    }

    /// The pool of a service to which work belongs.
    pub fn pool_of(&self, service: &ServiceId, work: &Work) -> Pool {
        Pool::of_prompt(work.chain.meeting(), self.pools(service))
    }

    /// A runner by the tag of its life.
    pub fn by_tag(&self, tag: Tag) -> Option<&Runner> {
        self.tags.get(&tag).and_then(|id| self.runners.get(id))
    }

    /// A runner by the tag of its life, to be changed.
    pub fn by_tag_mut(&mut self, tag: Tag) -> Option<&mut Runner> {
        self.tags.get(&tag).and_then(|id| self.runners.get_mut(id))
    }

    /// A runner.
    pub fn get(&self, id: &RunnerId) -> Option<&Runner> {
        self.runners.get(id)
    }

    /// A runner, to be changed.
    pub fn get_mut(&mut self, id: &RunnerId) -> Option<&mut Runner> {
        self.runners.get_mut(id)
    }

    /// A runner in the stay that `stay` tells of, to be changed.
    pub fn in_stay_mut(&mut self, stay: &Stay) -> Option<&mut Runner> {
        self.runners.get_mut(&stay.id).filter(|runner| runner.is_in(stay))
    }

    /// All runners.
    pub fn runners(&self) -> impl Iterator<Item = &Runner> {
        self.runners.values()
    }

    /// The runners of a service.
    pub fn of<'a>(&'a self, service: &'a ServiceId) -> impl Iterator<Item = &'a Runner> {
        self.runners.values().filter(move |r| r.entry.service == *service)
    }

    /// What closes the runner of a service that opens first, of those that take work; none if no
    /// runner that takes work is closed.
    pub fn closed(&self, service: &ServiceId, now: Instant) -> Option<Closed> {
        let closed = self.of(service).filter(|r| r.takes_work(now)).filter_map(|r| r.closed(now));
        closed.min_by_key(|closed| closed.wait())
    }

    /// The runners of a service from which this node backs off.
    pub fn backing_off<'a>(
        &'a self,
        service: &'a ServiceId,
        now: Instant,
    ) -> impl Iterator<Item = &'a RunnerId> {
        let some = self.of(service).filter(move |r| !r.back_off.is_over(now));
        some.map(|runner| &runner.entry.id)
    }

    /// Notes that work begins at a runner, and gives the stay to which it is counted; none if the
    /// runner is not known.
    pub fn begin(&mut self, id: &RunnerId, share: Share, now: Instant) -> Option<Stay> {
        let runner = self.runners.get_mut(id)?;
        runner.health.note_sent(now);
        runner.own.add(&share.load());
        Some(runner.stay())
    }

    /// Notes that the prompt of work under way has been read.
    pub fn note_read(&mut self, stay: &Stay, share: Share) {
        let Some(runner) = self.in_stay_mut(stay) else { return };
        let backlog = &mut runner.own.backlog[share.class.index()];
        *backlog = backlog.saturating_sub(share.fresh);
        let unread = &mut runner.own.unread[share.class.index()];
        *unread = unread.saturating_sub(1);
    }

    /// Notes that work has ended.
    pub fn end(&mut self, stay: &Stay, share: Share) {
        let Some(runner) = self.in_stay_mut(stay) else { return };
        let requests = &mut runner.own.requests[share.class.index()];
        *requests = requests.saturating_sub(1);
        runner.own.tokens = runner.own.tokens.saturating_sub(share.footprint);
    }

    /// Takes in what another node has under way at runners, in place of what it last said of them.
    pub fn take_report(&mut self, node: &NodeId, loads: &[(Tag, Load)], now: Instant) {
        for (tag, load) in loads {
            if let Some(runner) = self.by_tag_mut(*tag) {
                runner.others.take(node, *load, now);
            }
        }
    }

    /// Counts work that this node has placed for another, until that one tells of it.
    pub fn note_placed(&mut self, node: &NodeId, id: &RunnerId, share: Share, now: Instant) {
        if let Some(runner) = self.runners.get_mut(id) {
            runner.health.note_sent(now);
            runner.others.add(node, share.load(), now);
        }
    }

    /// Takes in how far a runner is with a part for another node.
    pub fn take_reading(&mut self, reading: Reading, now: Instant) {
        if let Some(runner) = self.by_tag_mut(reading.runner) {
            runner.cache.note_part(reading.part, reading.progress, now);
        }
    }

    /// Keeps new work from runners that are on their way to another stage.
    pub fn reserve(&mut self, tags: &[Tag], until: Instant) {
        for tag in tags {
            if let Some(runner) = self.by_tag_mut(*tag) {
                runner.reserved = Some(until);
            }
        }
    }

    /// The tags of the runners at which this node has work under way.
    pub fn busy(&self) -> impl Iterator<Item = Tag> {
        self.runners.values().filter(|r| !r.own.is_empty()).map(|r| r.entry.tag())
    }
}

/// What one piece of work takes of a runner.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Share {
    /// The class in which it waits.
    pub class: Class,
    /// Prompt tokens to read.
    pub fresh: u64,
    /// Memory, in tokens.
    pub footprint: u64,
}

impl Share {
    /// The share as a load, from when it is sent.
    pub fn load(self) -> Load {
        let mut load = Load { tokens: self.footprint, ..Load::default() };
        load.requests[self.class.index()] = 1;
        load.backlog[self.class.index()] = self.fresh;
        load.unread[self.class.index()] = 1;
        load
    }
}

/// A part of a prompt at a runner, as nodes tell each other.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Reading {
    /// The runner that reads it.
    pub runner: Tag,
    /// The part.
    pub part: Part,
    /// How far the runner is with it.
    pub progress: Progress,
}
