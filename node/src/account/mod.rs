//! Checking, for a key that belongs to no known account, that the configuration is up to date.

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

/// The timeout of a check, for which a request waits.
const CHECK_TIMEOUT: Duration = Duration::from_millis(400);

/// The result of a check.
#[derive(Clone, Debug, PartialEq)]
pub enum CheckResult {
    /// The configuration is up to date.
    Newest,
    /// The store has a newer configuration.
    Newer(Object),
    /// The store was restored from a backup and has an earlier configuration. A newer one may have
    /// been lost with the store's latest changes, and is written again.
    Earlier,
    /// The check failed.
    Unconfirmed,
}

#[derive(Debug, Default)]
struct State {
    freshness: Freshness,
    /// The point in the store's history up to which this node knows the configuration.
    from: Option<Point>,
    /// When the last check failed.
    failed: Option<Instant>,
    /// The configuration for which the store last showed an earlier one, and when.
    earlier: Option<(ConfigVersion, Instant)>,
}

/// The checks of one node. Only one runs at a time; requests that arrive meanwhile share its
/// result.
#[derive(Debug, Default)]
pub struct Checks(Mutex<State>);

impl Checks {
    /// Checks that `known` is the newest configuration, for a request that arrived at `arrived`.
    pub async fn confirm(
        &self,
        store: &Client,
        clock: &dyn Clock,
        known: &Configuration,
        arrived: Instant,
    ) -> CheckResult {
        let mut state = self.0.lock().await;
        if state.freshness.covers(known.version, arrived) {
            return CheckResult::Newest;
        }
        if state.failed.is_some_and(|at| arrived < at + CHECK_VALIDITY) {
            return CheckResult::Unconfirmed;
        }
        if state
            .earlier
            .is_some_and(|(of, at)| of == known.version && arrived < at + CHECK_VALIDITY)
        {
            return CheckResult::Earlier;
        }
        let began = clock.now();
        let from = state.from.unwrap_or(known.at);
        let checked = timeout(CHECK_TIMEOUT, read(store, from)).await;
        let (newest, as_of) = match checked {
            Ok(Ok(read)) => read,
            Ok(Err(error)) => {
                log::info!(version:% = known.version, error:% = error; "configuration check failed");
                state.failed = Some(began);
                return CheckResult::Unconfirmed;
            }
            Err(_) => {
                log::info!(version:% = known.version, limit:? = CHECK_TIMEOUT; "configuration check failed");
                state.failed = Some(began);
                return CheckResult::Unconfirmed;
            }
        };
        state.failed = None;
        let shown = newest.as_ref().and_then(|object| Some((object, version(object)?)));
        match shown {
            Some((object, version)) if version > known.version => {
                state.from = Some(as_of);
                CheckResult::Newer(object.clone())
            }
            Some((_, shown)) if shown < known.version => {
                log::warn!(
                    version:% = known.version, shown:% = shown, as_of:% = as_of;
                    "store shows an earlier configuration"
                );
                state.earlier = Some((known.version, began));
                CheckResult::Earlier
            }
            _ => {
                state.from = Some(as_of);
                state.freshness.record_check(known.version, began);
                CheckResult::Newest
            }
        }
    }
}

/// The version of a configuration; `None` if it cannot be decoded and so cannot be applied.
fn version(object: &Object) -> Option<ConfigVersion> {
    match config::decode(&object.content) {
        Ok(configuration) => Some(configuration.version),
        Err(error) => {
            log::error!(revision:% = object.at, error:% = error; "configuration in the store cannot be decoded");
            None
        }
    }
}

/// Reads the changes since `from`. Usually there are none, and the response is a few bytes.
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
