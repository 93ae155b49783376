//! Making sure that a key which no known account has is not newer than the configuration.

use std::time::{Duration, Instant};

use sardinepick_lib::account::freshness::{CHECK_VALIDITY, Freshness};
use sardinepick_lib::clock::Clock;
use sardinepick_lib::fleet::route::Configuration;
use sardinepick_lib::history::Point;
use sardinepick_lib::id::ConfigVersion;
use sardinepick_platform::config;
use sardinepick_platform::store::{Change, Object};
use tokio::sync::Mutex;
use tokio::time::timeout;

use crate::serve::store::{Client, Purpose, StoreError};

/// How long a check may take; a request waits for it.
const LIMIT: Duration = Duration::from_millis(400);

/// What a check has shown.
#[derive(Clone, Debug, PartialEq)]
pub enum Checked {
    /// The configuration is the newest.
    Newest,
    /// There is a newer one.
    Newer(Object),
    /// The store, back from a copy, has an earlier one: a newer may have been lost with its last changes,
    /// and is written again.
    Earlier,
    /// The store does not say.
    Unconfirmed,
}

#[derive(Debug, Default)]
struct State {
    freshness: Freshness,
    /// Up to where the store's history of the configuration is known.
    from: Option<Point>,
    /// When the last check failed.
    failed: Option<Instant>,
    /// Than which configuration the store last showed an earlier one, and when.
    earlier: Option<(ConfigVersion, Instant)>,
}

/// The checks of one node. One is under way at a time; requests that come meanwhile share it.
#[derive(Debug, Default)]
pub struct Checks(Mutex<State>);

impl Checks {
    /// Makes sure that `known` is the newest configuration for a request that arrived at `arrived`.
    pub async fn confirm(
        &self,
        store: &Client,
        clock: &dyn Clock,
        known: &Configuration,
        arrived: Instant,
    ) -> Checked {
        let mut state = self.0.lock().await;
        if state.freshness.covers(known.version, arrived) {
            return Checked::Newest;
        }
        if state.failed.is_some_and(|at| arrived < at + CHECK_VALIDITY) {
            return Checked::Unconfirmed;
        }
        if state
            .earlier
            .is_some_and(|(of, at)| of == known.version && arrived < at + CHECK_VALIDITY)
        {
            return Checked::Earlier;
        }
        let began = clock.now();
        let from = state.from.unwrap_or(known.at);
        let checked = timeout(LIMIT, read(store, from)).await;
        let (newest, as_of) = match checked {
            Ok(Ok(read)) => read,
            Ok(Err(error)) => {
                log::info!(version:% = known.version, error:% = error; "configuration not checked");
                state.failed = Some(began);
                return Checked::Unconfirmed;
            }
            Err(_) => {
                log::info!(version:% = known.version, limit:? = LIMIT; "configuration not checked");
                state.failed = Some(began);
                return Checked::Unconfirmed;
            }
        };
        state.failed = None;
        let shown = newest.as_ref().and_then(|object| Some((object, version(object)?)));
        match shown {
            Some((object, version)) if version > known.version => {
                state.from = Some(as_of);
                Checked::Newer(object.clone())
            }
            Some((_, shown)) if shown < known.version => {
                log::warn!(
                    version:% = known.version, shown:% = shown, as_of:% = as_of;
                    "store shows an earlier configuration"
                );
                state.earlier = Some((known.version, began));
                Checked::Earlier
            }
            _ => {
                state.from = Some(as_of);
                state.freshness.record_check(known.version, began);
                Checked::Newest
            }
        }
    }
}

/// The version of a configuration; none where it cannot be read, and so cannot be put in force.
fn version(object: &Object) -> Option<ConfigVersion> {
    match config::decode(&object.content) {
        Ok(configuration) => Some(configuration.version),
        Err(error) => {
            log::error!(revision:% = object.at, error:% = error; "configuration is not checked against");
            None
        }
    }
}

/// Reads what has changed since `from`. Mostly nothing has, and the answer is a few bytes.
async fn read(store: &Client, from: Point) -> Result<(Option<Object>, Point), StoreError> {
    let purpose = Purpose::ConfigurationCheck;
    let (objects, as_of) = match store.watch(purpose, config::KIND, from, Duration::ZERO).await {
        Ok(changes) => {
            let put = changes.changes.into_iter().filter_map(|change| match change {
                Change::Put(object) => Some(object),
                Change::Removed(_) => None,
            });
            (put.collect::<Vec<_>>(), changes.as_of)
        }
        Err(error) if error.is_forgotten() => store.list(purpose, config::KIND).await?,
        Err(error) => return Err(error),
    };
    let newest = objects.into_iter().filter(|o| o.name == config::NAME).max_by_key(|o| o.at);
    Ok((newest, as_of))
}
