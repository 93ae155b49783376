//! The orders that are compared with that of the queue.

use std::collections::{BTreeMap, HashMap, VecDeque};
use std::time::{Duration, Instant};

use sardinepick_lib::fleet::rank::Rank;
use sardinepick_lib::fleet::share::{Account, Bounds, Queue, Ticket, Weight, Work};

use crate::replay::{Job, Policy, RUNNERS};

/// The queue of the product.
pub struct Shares {
    pub queue: Queue<Job>,
    tickets: HashMap<usize, Ticket>,
    start: Instant,
    ticked: f64,
}

impl Default for Shares {
    fn default() -> Self {
        let mut queue = Queue::new(Bounds::default());
        queue.set_runners(RUNNERS);
        Self { queue, tickets: HashMap::new(), start: Instant::now(), ticked: 0.0 }
    }
}

impl Shares {
    fn at(&self, now: f64) -> Instant {
        self.start + Duration::from_secs_f64(now)
    }
}

impl Policy for Shares {
    fn submit(&mut self, job: Job, now: f64) {
        let work = Work {
            account: Account::of(&job.account.to_string()),
            weight: Weight::default(),
            rank: Rank { account: Some(1), route: job.kind as u8 },
            cost: job.announced,
            bytes: 1_000,
            due: self.at(job.due.max(0.0)),
            latest_start: self.at(job.latest_start),
            item: job,
        };
        self.queue.submit(work, self.at(now));
        if now - self.ticked > 0.5 {
            self.ticked = now;
            self.queue.forget(self.at(now));
        }
    }

    fn next(&mut self, _: usize, now: f64) -> Option<Job> {
        self.queue.expire(self.at(now));
        let released = self.queue.release(self.at(now), |_| true)?;
        self.tickets.insert(released.work.item.number, released.ticket);
        Some(released.work.item)
    }

    fn end(&mut self, job: &Job, now: f64) {
        let ticket = self.tickets.remove(&job.number).expect("released before");
        self.queue.settle(ticket, job.used, self.at(now));
    }

    fn waits(&mut self, now: f64) -> bool {
        self.queue.expire(self.at(now));
        !self.queue.is_empty()
    }
}

/// Waiting jobs by account, each in the order of the page.
#[derive(Default)]
struct Lines(BTreeMap<usize, Vec<Job>>);

impl Lines {
    fn add(&mut self, job: Job) {
        self.0.entry(job.account).or_default().push(job);
    }

    fn expire(&mut self, now: f64) {
        self.0.retain(|_, jobs| {
            jobs.retain(|job| job.latest_start >= now);
            !jobs.is_empty()
        });
    }

    fn first(&self, account: usize, now: f64) -> Option<Job> {
        let jobs = self.0.get(&account)?;
        let place = |job: &Job| (job.kind, job.due < now);
        let order = |a: &&Job, b: &&Job| place(a).cmp(&place(b)).then(a.due.total_cmp(&b.due));
        jobs.iter().min_by(order).copied()
    }

    fn take(&mut self, account: usize, now: f64) -> Option<Job> {
        let first = self.first(account, now)?;
        let jobs = self.0.get_mut(&account)?;
        jobs.retain(|job| job.number != first.number);
        if jobs.is_empty() {
            self.0.remove(&account);
        }
        Some(first)
    }
}

/// Start-time fair queueing.
#[derive(Default)]
pub struct StartTime {
    lines: Lines,
    virtual_time: f64,
    finish: HashMap<usize, f64>,
}

impl StartTime {
    fn tag(&self, account: usize) -> f64 {
        self.finish.get(&account).copied().unwrap_or(0.0).max(self.virtual_time)
    }
}

impl Policy for StartTime {
    fn submit(&mut self, job: Job, _: f64) {
        // The tag is taken when an account begins to wait, not when it is first chosen.
        if !self.lines.0.contains_key(&job.account) {
            let tag = self.tag(job.account);
            self.finish.insert(job.account, tag);
        }
        self.lines.add(job);
    }

    fn next(&mut self, _: usize, now: f64) -> Option<Job> {
        self.lines.expire(now);
        let finish = |account: &usize| self.finish.get(account).copied().unwrap_or(0.0);
        let account = *self.lines.0.keys().min_by(|a, b| finish(a).total_cmp(&finish(b)))?;
        let start = finish(&account);
        self.virtual_time = self.virtual_time.max(start);
        let job = self.lines.take(account, now)?;
        self.finish.insert(account, start + job.announced.secs());
        Some(job)
    }

    fn end(&mut self, job: &Job, _: f64) {
        let finish = self.finish.entry(job.account).or_default();
        *finish += job.used.secs() - job.announced.secs();
    }

    fn waits(&mut self, now: f64) -> bool {
        self.lines.expire(now);
        !self.lines.0.is_empty()
    }
}

/// Deficit round robin. What an account is granted in one round.
const QUANTUM: f64 = 0.1;

#[derive(Default)]
pub struct Deficit {
    lines: Lines,
    round: VecDeque<usize>,
    deficit: HashMap<usize, f64>,
}

impl Policy for Deficit {
    fn submit(&mut self, job: Job, _: f64) {
        if !self.round.contains(&job.account) {
            self.round.push_back(job.account);
        }
        self.lines.add(job);
    }

    fn next(&mut self, _: usize, now: f64) -> Option<Job> {
        self.lines.expire(now);
        loop {
            let account = *self.round.front()?;
            let Some(first) = self.lines.first(account, now) else {
                self.round.pop_front();
                // What is left of a deficit is lost, debts from corrections remain.
                let deficit = self.deficit.entry(account).or_default();
                *deficit = deficit.min(0.0);
                continue;
            };
            let deficit = self.deficit.entry(account).or_default();
            if *deficit >= first.announced.secs() {
                *deficit -= first.announced.secs();
                return self.lines.take(account, now);
            }
            *deficit += QUANTUM;
            self.round.rotate_left(1);
        }
    }

    fn end(&mut self, job: &Job, _: f64) {
        *self.deficit.entry(job.account).or_default() -= job.used.secs() - job.announced.secs();
    }

    fn waits(&mut self, now: f64) -> bool {
        self.lines.expire(now);
        !self.lines.0.is_empty()
    }
}

/// Dominant resource fairness over the compute and the memory that accounts hold.
#[derive(Default)]
pub struct Dominant {
    lines: Lines,
    /// Runners and tokens held, by account.
    held: HashMap<usize, (f64, f64)>,
}

const POOL_MEMORY: f64 = 12.0 * 427_752.0;

impl Dominant {
    fn share(&self, account: usize) -> f64 {
        let (compute, memory) = self.held.get(&account).copied().unwrap_or_default();
        (compute / RUNNERS as f64).max(memory / POOL_MEMORY)
    }
}

impl Policy for Dominant {
    fn submit(&mut self, job: Job, _: f64) {
        self.lines.add(job);
    }

    fn next(&mut self, _: usize, now: f64) -> Option<Job> {
        self.lines.expire(now);
        let oldest = |account: &usize| {
            self.lines.0[account].iter().map(|job| job.number).min().unwrap_or(usize::MAX)
        };
        let account = *self.lines.0.keys().min_by(|a, b| {
            self.share(**a).total_cmp(&self.share(**b)).then(oldest(a).cmp(&oldest(b)))
        })?;
        let job = self.lines.take(account, now)?;
        let held = self.held.entry(account).or_default();
        held.0 += 1.0;
        held.1 += job.tokens;
        Some(job)
    }

    fn end(&mut self, job: &Job, _: f64) {
        let held = self.held.entry(job.account).or_default();
        held.0 -= 1.0;
        held.1 -= job.tokens;
    }

    fn waits(&mut self, now: f64) -> bool {
        self.lines.expire(now);
        !self.lines.0.is_empty()
    }
}

/// The present order: all work is sent to the runner with the shortest wait, which serves it by
/// class. Work that is predicted to be late comes last, and is refused at once where the predicted
/// wait is too long.
pub struct AtRunners {
    /// Waiting jobs with their class, by runner.
    waiting: Vec<Vec<(usize, Job)>>,
    until: Vec<f64>,
}

const LATE: usize = 9;

impl Default for AtRunners {
    fn default() -> Self {
        Self { waiting: vec![Vec::new(); RUNNERS], until: vec![0.0; RUNNERS] }
    }
}

impl AtRunners {
    /// The runner with the shortest wait for a class, and when work would start there.
    fn soonest(&self, class: usize, now: f64) -> (f64, usize) {
        let start = |runner: usize| {
            let ahead = self.waiting[runner].iter().filter(|(other, _)| *other <= class);
            self.until[runner].max(now) + ahead.map(|(_, job)| job.prefill).sum::<f64>()
        };
        let all = (0..RUNNERS).map(|runner| (start(runner), runner));
        all.min_by(|a, b| a.0.total_cmp(&b.0)).expect("runners")
    }
}

impl Policy for AtRunners {
    fn submit(&mut self, job: Job, now: f64) {
        let (start, runner) = self.soonest(job.kind, now);
        if start <= job.due {
            return self.waiting[runner].push((job.kind, job));
        }
        let (start, runner) = self.soonest(LATE, now);
        // The fraction of the time left that late work may wait for.
        if start - now <= (job.latest_start - now) * 0.2 {
            self.waiting[runner].push((LATE, job));
        }
    }

    fn next(&mut self, runner: usize, now: f64) -> Option<Job> {
        let jobs = &mut self.waiting[runner];
        jobs.retain(|(_, job)| job.latest_start >= now);
        let first = jobs.iter().enumerate().min_by_key(|(_, (class, job))| (*class, job.number));
        let (at, _) = first?;
        let (_, job) = jobs.remove(at);
        self.until[runner] = now + job.prefill;
        Some(job)
    }

    fn end(&mut self, _: &Job, _: f64) {}

    fn waits(&mut self, now: f64) -> bool {
        self.waiting.iter().flatten().any(|(_, job)| job.latest_start >= now)
    }
}
