//! Following one kind of the platform's store: who does it, from where it goes on, and what it does
//! after a call that failed.

use std::sync::Arc;
use std::time::{Duration, UNIX_EPOCH};

use rand::RngExt as _;
use sardinepick_lib::fleet::outage::pause;
use sardinepick_lib::history::{Era, Point};
use sardinepick_platform::store::{Changes, Object};
use strum::{Display, IntoStaticStr};
use tokio::sync::watch;
use tokio::time::sleep;

use crate::serve::join;
use crate::serve::shared::Shared;
use crate::serve::store::{Purpose, StoreError};

/// How long a watch waits for a change. Longer waits cost fewer calls; a connection that has gone
/// silent is noticed only after one, and a leaving runner must get nothing after two seconds.
const WATCH_WAIT: Duration = Duration::from_secs(3);
/// The part of a pause after which history that is gone is read anew: a runner may have left in it.
const FORGOTTEN_PAUSE_PART: u32 = 4;
/// How often a node that does not follow the store looks whether it should.
const DUTY_PERIOD: Duration = Duration::from_millis(100);

/// What is followed.
#[derive(Clone, Copy, Debug, Display, Eq, IntoStaticStr, PartialEq)]
#[strum(serialize_all = "snake_case")]
pub(super) enum What {
    /// The configuration.
    Configuration,
    /// The register of runners.
    Register,
}

/// One thing that is followed.
pub(super) struct Follower {
    shared: Arc<Shared>,
    what: What,
    /// Calls in a row without an answer.
    failures: u32,
    /// From where to go on; none if all has to be read.
    pub(super) from: Option<Point>,
    /// The last point of which an answer was.
    last: Point,
    /// The era in which this node's entry was written last.
    pub(super) entered: Era,
    /// Whether this node follows it now.
    on_duty: bool,
    /// Changes of the store's era.
    eras: watch::Receiver<Era>,
}

impl Follower {
    /// What follows `what` at this node, of which nothing is known yet.
    pub(super) fn new(shared: Arc<Shared>, what: What) -> Self {
        let eras = shared.history.subscribe();
        Self {
            shared,
            what,
            failures: 0,
            from: None,
            last: Point::default(),
            entered: Era::default(),
            on_duty: false,
            eras,
        }
    }

    /// Whether this node is to follow. Before it has met others each would take itself for the one, so
    /// the seeds alone do: where all nodes start together, as after the loss of all, somebody must read
    /// at once what all need.
    fn has_duty(&self) -> bool {
        let shared = &self.shared;
        let is_seed = || shared.settings.seeds.contains(&shared.me.peer);
        if *shared.acquainted.borrow() { shared.follows() } else { is_seed() }
    }

    /// Waits while other nodes follow the store for this one. What they tell meanwhile is not known
    /// by its place in the store's history, so all is read anew after it.
    pub(super) async fn wait_for_duty(&mut self) {
        if !self.has_duty() {
            if self.on_duty {
                log::info!(what:% = self.what; "other nodes follow the store");
            }
            (self.on_duty, self.from) = (false, None);
            while !self.has_duty() {
                sleep(DUTY_PERIOD).await;
            }
        }
        if self.on_duty {
            return;
        }
        self.on_duty = true;
        log::info!(what:% = self.what; "this node follows the store");
        if self.what == What::Configuration {
            self.write_entry().await;
        }
    }

    /// Writes this node's entry: those that find nobody else find this node in the store.
    pub(super) async fn write_entry(&mut self) {
        if let Err(error) = join::write_entry(&self.shared).await {
            log::info!(error:% = error; "this node's entry is not written");
        }
        self.entered = self.shared.history.era();
    }

    /// Lists a kind. Where that shows that the store came back from a copy without naming an era, the
    /// list is of none that is known and not used.
    pub(super) async fn list(
        &mut self,
        purpose: Purpose,
        kind: &str,
    ) -> Result<(Vec<Object>, Point), StoreError> {
        let (objects, as_of) = self.shared.store.list(purpose, kind).await?;
        if as_of.era == self.last.era && as_of < self.last {
            let was = std::mem::replace(&mut self.last, as_of);
            self.shared.history.note_revision_fall(was, as_of);
            let era = self.shared.history.era();
            if era != was.era {
                return Err(StoreError::Crossed { purpose, was, era });
            }
        }
        Ok((objects, as_of))
    }

    /// Waits for changes after `from`, unless the store's era changes meanwhile: what follows in another
    /// era does not go on from there.
    pub(super) async fn watch(
        &mut self,
        purpose: Purpose,
        kind: &str,
        from: Point,
    ) -> Result<Changes, StoreError> {
        let shared = self.shared.clone();
        tokio::select! {
            brought = shared.store.watch(purpose, kind, from, WATCH_WAIT) => brought,
            era = next_era(&mut self.eras, from.era) => {
                Err(StoreError::Crossed { purpose, was: from, era })
            }
        }
    }

    /// Notes an answer, with the place from which to go on.
    pub(super) fn note_answer(&mut self, as_of: Point) {
        self.shared.note_served();
        self.failures = 0;
        (self.from, self.last) = (Some(as_of), as_of);
        let since = self.shared.clock.wall().duration_since(UNIX_EPOCH).unwrap_or_default();
        let what: &str = self.what.into();
        let answered = self.shared.metrics.answered.with_label_values(&[what]);
        answered.set(i64::try_from(since.as_secs()).unwrap_or(i64::MAX));
        let now = self.shared.clock.now();
        if let Some(away) = self.shared.outage().note_answer(now) {
            log::info!(what:% = self.what, away_ms = away.as_millis() as u64; "store regained");
        }
    }

    /// Notes a failure in the log and waits. After it all is read anew: the answer to a list comes
    /// at once, while a watch that meets a silent path would hang for its whole wait.
    pub(super) async fn back_off(&mut self, error: &StoreError) {
        let forgotten = error.is_forgotten();
        if !forgotten {
            self.shared.note_unserved();
        }
        self.from = None;
        self.failures += 1;
        let draw: f64 = self.shared.rng().random();
        let pause = pause(self.failures, draw);
        // A store that has forgotten its history is not away.
        let first = !forgotten && self.shared.outage().note_failure(self.shared.clock.now());
        if first || forgotten {
            log::warn!(
                what:% = self.what, error:% = error, pause_ms = pause.as_millis() as u64;
                "store {}", if forgotten { "forgot its history" } else { "lost" }
            );
        } else {
            log::debug!(what:% = self.what, error:% = error, failures = self.failures; "store away");
        }
        self.shared.note_behind();
        sleep(if forgotten { pause / FORGOTTEN_PAUSE_PART } else { pause }).await;
    }
}

/// Waits until the era is another one than `era`.
async fn next_era(eras: &mut watch::Receiver<Era>, era: Era) -> Era {
    let next = eras.wait_for(|known| *known != era).await.map(|known| *known);
    match next {
        Ok(known) => known,
        // The tracker lives as long as all that follows the store.
        Err(_) => std::future::pending().await,
    }
}
