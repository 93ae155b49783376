//! The runners known to a node, from the platform's register.
//!
//! The platform removes the entry of a runner that has been silent, also during an outage of its
//! store, when it hears from no runner. Entries that expired that way return within two seconds
//! after the outage. So an entry that is missing at the first read after an outage is kept as
//! doubtful for a while: removing all runners of a service when the store returns would refuse
//! requests that can be served.
//!
//! A runner that restarts under the same id has lost all state. It replaces its former incarnation
//! as a runner of which only the entry is known. A late entry of a former incarnation is ignored,
//! and work that started in one incarnation ends in it ([`Registration`]).
//!
//! A store that was restored from a backup returns older entries in a later era. The runners' own
//! write counts distinguish them from new ones.

use std::collections::{HashMap, VecDeque};
use std::time::Instant;

use super::cache::{Part, Progress};
use super::engine::{Pace, Stage, Work};
use super::health::Record;
use super::load::{Class, Load};
use super::model::{self, Deviation, Models, Sample};
use super::pool::{self, Pool};
use super::runner::{Closed, Entry, Registration, Runner, State, Tag};
use super::scheduler::Observation;
use super::stream_binding::history::NEW_VERSION_DELAY;
use super::version::Version;
use crate::history::Point;
use crate::id::{NodeId, RunnerId, ServiceId};

/// The effect of a change of the register.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Change {
    /// A new runner was added.
    Added,
    /// A runner has restarted under its id.
    Restarted,
    /// A runner no longer accepts new work.
    Leaving,
    /// The entry of a runner is missing; the runner is kept for a while.
    Missing,
    /// A runner was removed.
    Removed,
    /// Another field of an entry has changed.
    Updated,
    /// No effect.
    None,
    /// No effect: the entry is later than what is known, but from a former incarnation, or from a
    /// restored backup and of a runner that has left.
    Outdated,
    /// No effect: the entry is from a restored backup, and the runner has announced since that it
    /// leaves.
    Reverted,
}

/// The maximum number of departed runners that are remembered, to recognize their entries in a
/// store that was restored from a backup.
const MAX_DEPARTED: usize = 512;

/// The known runners.
#[derive(Clone, Debug, Default)]
pub struct Register {
    runners: HashMap<RunnerId, Runner>,
    tags: HashMap<Tag, RunnerId>,
    doubtful: HashMap<RunnerId, Instant>,
    /// The last entries of departed runners, oldest first.
    departed: VecDeque<Entry>,
    /// Versions that have appeared beside others of their service, and since when.
    new_versions: Vec<(ServiceId, Version, Option<Instant>)>,
    /// The number of registrations so far.
    registrations: u64,
    /// The number of pools of each service.
    pools: HashMap<ServiceId, u16>,
    /// Whether runners have joined, left or changed their stage since the pools were last assigned.
    pools_outdated: bool,
    /// The models of runners; `None` if they are not enabled.
    models: Option<Models>,
}

impl Register {
    /// Predicts by the models of runners from now on.
    pub fn enable_models(&mut self) {
        let models = self.models.get_or_insert_default();
        for runner in self.runners.values_mut() {
            adopt_rates(runner, models);
        }
    }

    /// The models of runners, if they are enabled.
    pub fn models(&self) -> Option<&Models> {
        self.models.as_ref()
    }

    /// What is learned of the runners of a pool, by stage, for the successor of its scheduler.
    pub fn model_states(&self, service: &ServiceId, pool: Pool) -> Vec<model::State> {
        let Some(models) = &self.models else { return Vec::new() };
        let state = |stage| {
            let model = models.get(service, stage)?;
            let of_stage = self.of(service).filter(|r| r.entry.stage == Some(stage));
            let states = of_stage.filter(|r| r.pool == pool).filter_map(Runner::model_state);
            Some(model.state(service, stage, states.take(model::MAX_RUNNERS).collect()))
        };
        [Stage::Prefill, Stage::Decode].into_iter().filter_map(state).collect()
    }

    /// Adopts what the scheduler of a pool has learned, as far as this node has less evidence.
    pub fn adopt_model_state(&mut self, state: &model::State) {
        let Some(models) = &mut self.models else { return };
        if models.adopt(state) {
            let entries = self.runners.values_mut();
            let same = |r: &&mut Runner| {
                r.entry.service == state.service && r.entry.stage == Some(state.stage)
            };
            entries.filter(same).for_each(|runner| adopt_rates(runner, models));
        }
        for runner_state in &state.runners {
            if let Some(runner) = self.by_tag_mut(runner_state.runner)
                && runner.entry.stage == Some(state.stage)
            {
                runner.adopt_model_state(runner_state);
            }
        }
    }

    /// Learns from work at the runner with a tag.
    pub fn learn(&mut self, tag: Tag, observation: Observation, now: Instant) {
        let Some(runner) = self.tags.get(&tag).and_then(|id| self.runners.get_mut(id)) else {
            return;
        };
        runner.learn(observation, now);
        let Observation::Prefill { seen, basis: Some(basis), .. } = observation else { return };
        let Some(models) = &mut self.models else { return };
        // The work may have been placed before the runner changed its stage.
        if runner.entry.stage != Some(basis.stage) {
            return;
        }
        let Entry { service, version, .. } = &runner.entry;
        let failure_rate = runner.health.failure_rate();
        let sample = Sample { service, version, failure_rate, basis: &basis, seen };
        let Some(rates) = models.learn(&sample, &mut runner.deviation, now) else { return };
        let (service, version) = (service.clone(), version.clone());
        for other in self.runners.values_mut() {
            let entry = &other.entry;
            let same = entry.stage == Some(basis.stage) && entry.service == service;
            if same && entry.version == version {
                other.rates = Some(rates);
            }
        }
    }

    /// Applies an entry. An entry that is older than the known one, or of a former incarnation, has
    /// no effect.
    pub fn apply(&mut self, entry: Entry) -> Change {
        let Some(runner) = self.runners.get_mut(&entry.id) else {
            if self.departed.iter().any(|departed| entry.is_replay_of(departed)) {
                return Change::Outdated;
            }
            self.insert(entry);
            return Change::Added;
        };
        // A doubtful runner that is back has written a new entry. Its old entry may arrive again
        // from nodes that have not noticed yet that it is missing, and must not keep the runner in
        // use.
        if entry.at <= runner.entry.at {
            return Change::None;
        }
        if entry.is_replay_of(&runner.entry) {
            let was_doubtful = self.doubtful.remove(&entry.id).is_some();
            runner.entry.at = entry.at;
            if runner.entry.state == State::Draining && entry.state == State::Ready {
                return Change::Reverted;
            }
            return if was_doubtful { Change::Updated } else { Change::None };
        }
        match (entry.born, runner.entry.born) {
            // A runner reports its start time in every entry; an entry without one was not written
            // by it.
            (None, Some(_)) => return self.reject(&entry.id, entry.at),
            (new, known) if new < known => return Change::Outdated,
            _ => {}
        }
        self.doubtful.remove(&entry.id);
        if entry.born > runner.entry.born {
            let former = runner.entry.tag();
            self.tags.remove(&former);
            self.insert(entry);
            return Change::Restarted;
        }
        let leaves = runner.entry.state == State::Ready && entry.state == State::Draining;
        let stage_changed = runner.entry.stage != entry.stage;
        runner.entry = entry;
        if stage_changed {
            // What was learned about it in its former stage does not apply to the new one.
            runner.pace = Pace::default();
            runner.deviation = Deviation::default();
            if let Some(models) = &mut self.models {
                adopt_rates(runner, models);
            }
            runner.health = Record::default();
            runner.cache.clear();
            runner.reserved = None;
            self.pools_outdated = true;
        }
        if leaves { Change::Leaving } else { Change::Updated }
    }

    /// Handles an entry under the id of a runner that was not written by that runner. The id then
    /// names no usable runner. The removal is not in doubt, as the store has just returned the
    /// entry.
    pub fn reject(&mut self, id: &RunnerId, at: Point) -> Change {
        match self.runners.get(id) {
            Some(runner) if runner.entry.at < at => {
                self.drop_runner(id);
                Change::Removed
            }
            _ => Change::None,
        }
    }

    fn insert(&mut self, entry: Entry) {
        let mut others = self.runners.values().filter(|r| r.entry.service == entry.service);
        if others.clone().next().is_some() && others.all(|r| r.entry.version != entry.version) {
            self.new_versions.push((entry.service.clone(), entry.version.clone(), None));
        }
        self.registrations += 1;
        self.pools_outdated = true;
        self.tags.insert(entry.tag(), entry.id.clone());
        let mut runner = Runner::new(entry, self.registrations);
        if let Some(models) = &mut self.models {
            adopt_rates(&mut runner, models);
        }
        self.runners.insert(runner.entry.id.clone(), runner);
    }

    /// Handles the removal of an entry. If `doubt` is set, because the store was unavailable, the
    /// runner is kept until then.
    pub fn remove(&mut self, id: &RunnerId, doubt: Option<Instant>) -> Change {
        let Some(runner) = self.runners.get(id) else { return Change::None };
        if let Some(until) = doubt
            && runner.is_last_resort()
        {
            self.doubtful.entry(id.clone()).or_insert(until);
            return Change::Missing;
        }
        self.departed.push_back(runner.entry.clone());
        if self.departed.len() > MAX_DEPARTED {
            self.departed.pop_front();
        }
        self.drop_runner(id);
        Change::Removed
    }

    fn drop_runner(&mut self, id: &RunnerId) {
        self.doubtful.remove(id);
        if let Some(runner) = self.runners.remove(id) {
            self.pools_outdated = true;
            self.tags.remove(&runner.entry.tag());
        }
    }

    /// Replaces the whole list: runners without an entry in it are removed.
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
        changes.retain(|(_, change)| {
            !matches!(change, Change::None | Change::Outdated | Change::Reverted)
        });
        changes
    }

    /// Ends the delay of new versions that have been registered for [`NEW_VERSION_DELAY`]. To be
    /// called several times a second.
    pub fn settle_versions(&mut self, now: Instant) {
        self.new_versions.retain_mut(|(.., since)| {
            now.saturating_duration_since(*since.get_or_insert(now)) < NEW_VERSION_DELAY
        });
    }

    /// Whether no new stream is begun at a runner yet because of its version.
    pub fn is_new_version(&self, runner: &Runner) -> bool {
        let Entry { service, version, .. } = &runner.entry;
        self.new_versions.iter().any(|(s, v, _)| s == service && v == version)
    }

    /// Removes doubtful runners whose time is over, and returns their ids.
    pub fn expire(&mut self, now: Instant) -> Vec<RunnerId> {
        let over: Vec<RunnerId> = self
            .doubtful
            .iter()
            .filter(|(_, until)| **until <= now)
            .map(|(id, _)| id.clone())
            .collect();
        for id in &over {
            self.drop_runner(id);
        }
        over
    }

    /// Until when a runner is kept although its entry is missing; `None` if its entry is there.
    pub fn doubted_until(&self, id: &RunnerId) -> Option<Instant> {
        self.doubtful.get(id).copied()
    }

    /// Assigns the runners to pools again, if they have changed.
    pub fn assign_pools(&mut self) {
        if std::mem::take(&mut self.pools_outdated) {
            self.pools = pool::assign(&mut self.runners);
        }
    }

    /// The number of pools of a service.
    pub fn pools(&self, service: &ServiceId) -> u16 {
        self.pools.get(service).copied().unwrap_or(1)
    }

    /// The pool of a service to which work belongs.
    pub fn pool_of(&self, service: &ServiceId, work: &Work) -> Pool {
        Pool::of_prompt(work.chain.affinity_key(), self.pools(service))
    }

    /// The runner with a tag.
    pub fn by_tag(&self, tag: Tag) -> Option<&Runner> {
        self.tags.get(&tag).and_then(|id| self.runners.get(id))
    }

    /// The runner with a tag, mutably.
    pub fn by_tag_mut(&mut self, tag: Tag) -> Option<&mut Runner> {
        self.tags.get(&tag).and_then(|id| self.runners.get_mut(id))
    }

    /// The runner with an id.
    pub fn get(&self, id: &RunnerId) -> Option<&Runner> {
        self.runners.get(id)
    }

    /// The runner with an id, mutably.
    pub fn get_mut(&mut self, id: &RunnerId) -> Option<&mut Runner> {
        self.runners.get_mut(id)
    }

    /// The runner of a registration, mutably, if that registration is still current.
    pub fn registered_mut(&mut self, registration: &Registration) -> Option<&mut Runner> {
        self.runners.get_mut(&registration.id).filter(|runner| runner.is_current(registration))
    }

    /// All runners.
    pub fn runners(&self) -> impl Iterator<Item = &Runner> {
        self.runners.values()
    }

    /// The runners of a service.
    pub fn of<'a>(&'a self, service: &'a ServiceId) -> impl Iterator<Item = &'a Runner> {
        self.runners.values().filter(move |r| r.entry.service == *service)
    }

    /// Of the eligible runners of a service that are closed, the reason and duration of the one
    /// that opens first; `None` if no eligible runner is closed.
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
        let backing_off = self.of(service).filter(move |r| !r.back_off.is_over(now));
        backing_off.map(|runner| &runner.entry.id)
    }

    /// Records that work starts at a runner. Returns the registration to which it is attributed, or
    /// `None` if the runner is not known.
    pub fn begin(&mut self, id: &RunnerId, cost: WorkCost, now: Instant) -> Option<Registration> {
        let runner = self.runners.get_mut(id)?;
        runner.health.note_sent(now);
        runner.own.add(&cost.load());
        Some(runner.registration())
    }

    /// Records that the prompt of outstanding work has been prefilled.
    pub fn note_prefilled(&mut self, registration: &Registration, cost: WorkCost) {
        let Some(runner) = self.registered_mut(registration) else { return };
        let backlog = &mut runner.own.backlog[cost.class.index()];
        *backlog = backlog.saturating_sub(cost.prefill_tokens);
        let prompts = &mut runner.own.prompts[cost.class.index()];
        *prompts = prompts.saturating_sub(1);
    }

    /// Records that work has ended.
    pub fn end(&mut self, registration: &Registration, cost: WorkCost) {
        let Some(runner) = self.registered_mut(registration) else { return };
        let requests = &mut runner.own.requests[cost.class.index()];
        *requests = requests.saturating_sub(1);
        runner.own.tokens = runner.own.tokens.saturating_sub(cost.footprint);
    }

    /// Replaces the outstanding work that another node has reported for runners.
    pub fn apply_load_report(&mut self, node: &NodeId, loads: &[(Tag, Load)], now: Instant) {
        for (tag, load) in loads {
            if let Some(runner) = self.by_tag_mut(*tag) {
                runner.others.replace(node, *load, now);
            }
        }
    }

    /// Counts work that this node has placed for another, until that node reports it.
    pub fn note_placed(&mut self, node: &NodeId, id: &RunnerId, cost: WorkCost, now: Instant) {
        if let Some(runner) = self.runners.get_mut(id) {
            runner.health.note_sent(now);
            runner.others.add(node, cost.load(), now);
        }
    }

    /// Applies another node's report of the prefill progress of a part.
    pub fn apply_prefill_report(&mut self, report: PrefillReport, now: Instant) {
        if let Some(runner) = self.by_tag_mut(report.runner) {
            runner.cache.note_part(report.part, report.progress, now);
        }
    }

    /// Keeps new work away from runners that are changing their stage.
    pub fn reserve(&mut self, tags: &[Tag], until: Instant) {
        for tag in tags {
            if let Some(runner) = self.by_tag_mut(*tag) {
                runner.reserved = Some(until);
            }
        }
    }

    /// The tags of the runners at which this node has outstanding work.
    pub fn busy_tags(&self) -> impl Iterator<Item = Tag> {
        self.runners.values().filter(|r| !r.own.is_empty()).map(|r| r.entry.tag())
    }
}

/// Sets what the model says of runners of its kind.
fn adopt_rates(runner: &mut Runner, models: &mut Models) {
    let Entry { service, stage, version, .. } = &runner.entry;
    runner.rates = stage.map(|stage| models.rates(service, stage, version));
}

/// The resources that one piece of work takes of a runner.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct WorkCost {
    /// The class in which it is queued.
    pub class: Class,
    /// Prompt tokens to prefill.
    pub prefill_tokens: u64,
    /// Memory, in tokens.
    pub footprint: u64,
}

impl WorkCost {
    /// The load that the work adds when it is sent.
    pub fn load(self) -> Load {
        let mut load = Load { tokens: self.footprint, ..Load::default() };
        load.requests[self.class.index()] = 1;
        load.backlog[self.class.index()] = self.prefill_tokens;
        load.prompts[self.class.index()] = 1;
        load
    }
}

/// The prefill progress of a part of a prompt on a runner, as exchanged between nodes.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PrefillReport {
    /// The runner that prefills it.
    pub runner: Tag,
    /// The part.
    pub part: Part,
    /// Its progress.
    pub progress: Progress,
}
