//! Windows of true time.

use std::collections::BTreeMap;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::id::{AccountId, Window};

/// How many requests of each account began to run.
pub type Counts = BTreeMap<AccountId, u64>;

/// The windows that follow each other, all of one length.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Windows {
    length: Duration,
}

impl Windows {
    /// Windows of `length`, which is not nothing.
    pub fn new(length: Duration) -> Self {
        Self { length: length.max(Duration::from_millis(1)) }
    }

    /// The window of a time since the start of 1970.
    pub fn at(self, time: Duration) -> Window {
        Window(u64::try_from(time.as_nanos() / self.length.as_nanos()).unwrap_or(u64::MAX))
    }

    /// When a window begins, since the start of 1970.
    pub fn start(self, window: Window) -> Duration {
        let nanos = self.length.as_nanos().saturating_mul(u128::from(window.0));
        Duration::from_nanos_u128(nanos.min(Duration::MAX.as_nanos()))
    }

    /// When a window ends, since the start of 1970.
    pub fn end(self, window: Window) -> Duration {
        self.start(window.next())
    }

    /// The length of a window.
    pub fn length(self) -> Duration {
        self.length
    }
}
