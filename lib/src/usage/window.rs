//! Consecutive time windows of equal length.

use std::collections::BTreeMap;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::id::{AccountId, Window};

/// The number of requests per account that started.
pub type Counts = BTreeMap<AccountId, u64>;

/// Divides time since the Unix epoch into consecutive windows of equal length.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Windows {
    length: Duration,
}

impl Windows {
    /// Windows of `length`, which is raised to at least 1 ms.
    pub fn new(length: Duration) -> Self {
        Self { length: length.max(Duration::from_millis(1)) }
    }

    /// The window that contains `time`, given as the duration since the Unix epoch.
    pub fn at(self, time: Duration) -> Window {
        Window(u64::try_from(time.as_nanos() / self.length.as_nanos()).unwrap_or(u64::MAX))
    }

    /// The start of a window, as the duration since the Unix epoch.
    pub fn start(self, window: Window) -> Duration {
        let nanos = self.length.as_nanos().saturating_mul(u128::from(window.0));
        Duration::from_nanos_u128(nanos.min(Duration::MAX.as_nanos()))
    }

    /// The end of a window, as the duration since the Unix epoch.
    pub fn end(self, window: Window) -> Duration {
        self.start(window.next())
    }

    /// The length of a window.
    pub fn length(self) -> Duration {
        self.length
    }
}
