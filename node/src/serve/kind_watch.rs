//! Watching one kind of object in the platform's store: which nodes do so, where a watch resumes,
//! and how it recovers from a failed call.

use std::sync::Arc;
use std::time::{Duration, Instant, UNIX_EPOCH};

use rand::RngExt as _;
use sardinepick_lib::fleet::watch_role::{Role, WAIT};
use sardinepick_lib::history::{Era, Point};
use sardinepick_platform::store::{Changes, Object};
use tokio::sync::watch;
use tokio::time::sleep;

use crate::freshness::Kind;
use crate::serve::join;
use crate::serve::shared::Shared;
use crate::serve::store::{Purpose, StoreError};

/// The divisor of the back-off after the store no longer has the requested history. The
/// retry is earlier then, since a runner may have left in the missing history.
const FORGOTTEN_BACK_OFF_DIVISOR: u32 = 4;
/// How often a node that does not watch the store checks whether it should.
const WATCH_CHECK_PERIOD: Duration = Duration::from_millis(50);

/// This node's watch of one kind of object.
pub(super) struct KindWatch {
    shared: Arc<Shared>,
    what: Kind,
    /// Consecutive failed calls.
    failures: u32,
    /// Where the watch resumes; `None` if all has to be listed.
    pub(super) from: Option<Point>,
    /// The revision of the last answer.
    last: Point,
    /// A time at which the last answer was current.
    answered: Instant,
    /// Whether the last answer was a list or a change.
    follows_change: bool,
    /// The era in which this node's entry was last written; `None` if it was not since this node
    /// was elected.
    entry_era: Option<Era>,
    /// Why this node currently watches the store; `None` if it does not.
    role: Option<Role>,
    /// Notifies of changes of the store's era.
    eras: watch::Receiver<Era>,
}

impl KindWatch {
    /// Creates the watch of `kind` at this node; nothing has been read yet.
    pub(super) fn new(shared: Arc<Shared>, what: Kind) -> Self {
        let (eras, answered) = (shared.era_tracker.subscribe(), shared.clock.now());
        Self {
            shared,
            answered,
            what,
            failures: 0,
            from: None,
            last: Point::default(),
            follows_change: false,
            entry_era: None,
            role: None,
            eras,
        }
    }

    /// Returns why this node must watch the store, if it must. Before a node has met others, it would
    /// always consider itself elected, so only the seeds are until then. If all nodes start at the
    /// same time, some node must read at once what all of them need.
    fn required_role(&self) -> Option<Role> {
        let shared = &self.shared;
        if *shared.membership_settled.borrow() {
            return shared.watch_role(self.what);
        }
        if shared.settings.seeds.contains(&shared.me.peer) {
            return Some(Role::Elected(0));
        }
        // The nodes from which it has a copy may have failed since.
        shared.freshness.has_become_stale(self.what).then_some(Role::Substitute)
    }

    /// Waits while other nodes watch the store for this one. What they report meanwhile carries no
    /// position in the store's history, so all is listed again afterwards.
    pub(super) async fn wait_until_watching(&mut self) {
        let mut role = self.required_role();
        if role.is_none() {
            if self.role.is_some() {
                log::info!(what:% = self.what; "other nodes watch the store");
            }
            (self.role, self.from, self.entry_era) = (None, None, None);
            while role.is_none() {
                sleep(WATCH_CHECK_PERIOD).await;
                role = self.required_role();
            }
        }
        if self.role.is_none() {
            let age = self.shared.freshness.age_of_others(self.what);
            log::info!(
                what:% = self.what, role:? = role, age_ms = age.as_millis() as u64;
                "this node watches the store"
            );
        }
        self.role = role;
        self.update_entry().await;
    }

    /// Writes this node's entry, by which nodes that find no seed can find it through the store, if
    /// this node is elected and has not written it in the store's era.
    pub(super) async fn update_entry(&mut self) {
        let is_elected = matches!(self.role, Some(Role::Elected(_)));
        let era = || Some(self.shared.era_tracker.era());
        if self.what != Kind::Configuration || !is_elected || self.entry_era == era() {
            return;
        }
        if let Err(error) = join::write_entry(&self.shared).await {
            log::info!(error:% = error; "cannot write this node's entry");
        }
        self.entry_era = era();
    }

    /// Lists a kind. If the list shows that the store was restored from a backup without naming its
    /// era, the list belongs to no known era and is not used.
    pub(super) async fn list(
        &mut self,
        purpose: Purpose,
        kind: &str,
    ) -> Result<(Vec<Object>, Point), StoreError> {
        let called = self.shared.clock.now();
        let (objects, as_of) = self.shared.store.list(purpose, kind).await?;
        (self.answered, self.follows_change) = (called, true);
        if as_of.era == self.last.era && as_of < self.last {
            let was = std::mem::replace(&mut self.last, as_of);
            self.shared.era_tracker.note_revision_fall(was, as_of);
            let era = self.shared.era_tracker.era();
            if era != was.era {
                return Err(StoreError::EraChanged { purpose, was, era });
            }
        }
        Ok((objects, as_of))
    }

    /// Makes the next call list everything.
    pub(super) fn list_again(&mut self) {
        self.from = None;
    }

    /// Waits for changes after `from`, unless the store's era changes meanwhile: the history of
    /// another era does not continue from there.
    pub(super) async fn watch(
        &mut self,
        purpose: Purpose,
        kind: &str,
        from: Point,
    ) -> Result<Changes, StoreError> {
        let shared = self.shared.clone();
        let wait = self.role.map_or(WAIT, |role| role.wait(self.follows_change));
        tokio::select! {
            reply = shared.store.watch(purpose, kind, from, wait) => {
                self.answered = shared.clock.now();
                self.follows_change = reply.as_ref().is_ok_and(|reply| !reply.changes.is_empty());
                reply
            }
            era = next_era(&mut self.eras, from.era) => {
                Err(StoreError::EraChanged { purpose, was: from, era })
            }
        }
    }

    /// Records an answer and where to resume.
    pub(super) fn note_answer(&mut self, as_of: Point) {
        self.shared.note_served();
        self.failures = 0;
        (self.from, self.last) = (Some(as_of), as_of);
        let since = self.shared.clock.wall().duration_since(UNIX_EPOCH).unwrap_or_default();
        let what: &str = self.what.into();
        let answered = self.shared.metrics.store_answered.with_label_values(&[what]);
        answered.set(i64::try_from(since.as_secs()).unwrap_or(i64::MAX));
        let now = self.shared.clock.now();
        if let Some(away) = self.shared.outage().note_answer(now) {
            log::info!(what:% = self.what, away_ms = away.as_millis() as u64; "store regained");
        }
    }

    /// Attests the last answer to the other nodes. This node's copy must reflect it.
    pub(super) fn attest(&self) {
        self.shared.freshness.note_answer(self.what, self.answered);
    }

    /// Logs a failure and backs off. All is listed again afterwards: a list is answered at once,
    /// while a watch over a silent path would hang for its whole wait.
    pub(super) async fn back_off(&mut self, error: &StoreError) {
        let history_lost = error.is_forgotten();
        let role = self.role.unwrap_or(Role::Substitute);
        // No node relies on a substitute, so the others need not learn that the store fails it.
        if !history_lost && role != Role::Substitute {
            self.shared.note_unserved();
        }
        self.from = None;
        self.failures += 1;
        let draw: f64 = self.shared.rng().random();
        let nodes = self.shared.roster().ids().count() + 1;
        let pause = role.pause(self.failures, nodes, draw);
        // A store that no longer has the history is not down.
        let first = !history_lost && self.shared.outage().note_failure(self.shared.clock.now());
        if first || history_lost {
            log::warn!(
                what:% = self.what, error:% = error, pause_ms = pause.as_millis() as u64;
                "store {}", if history_lost { "no longer has the history" } else { "lost" }
            );
        } else {
            log::debug!(
                what:% = self.what, error:% = error, failures = self.failures;
                "store unavailable"
            );
        }
        self.shared.note_outdated();
        sleep(if history_lost { pause / FORGOTTEN_BACK_OFF_DIVISOR } else { pause }).await;
    }
}

/// Waits until the era differs from `era`.
async fn next_era(eras: &mut watch::Receiver<Era>, era: Era) -> Era {
    let next = eras.wait_for(|known| *known != era).await.map(|known| *known);
    match next {
        Ok(known) => known,
        // The sender lives as long as every watch of the store.
        Err(_) => std::future::pending().await,
    }
}
