//! The rank of a request: that of its client account, then that of its route.

/// The number of levels that are distinguished for accounts and for routes. Higher ranks share the
/// last level. A runner distinguishes ten levels in all: nine for work that can be on time and one
/// for late work.
pub const LEVELS: u8 = 3;

/// The rank of a request; 0 is the highest. Requests are ordered by the account first. Within one
/// rank of accounts the order of routes remains, so that an account's urgent work is not queued
/// behind its other work.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Rank {
    /// The rank of the account; `None` if it has none.
    pub account: Option<u8>,
    /// The rank of the route.
    pub route: u8,
}

impl Rank {
    /// The rank of requests on a route, without an account.
    pub fn of_route(route: u8) -> Self {
        Self { account: None, route }
    }

    /// The level of the request among all classes of work that can be on time, from 0 to
    /// `LEVELS * LEVELS - 1`. An account without a rank is treated as one with the rank of the
    /// route.
    pub fn level(self) -> u8 {
        self.account_level() * LEVELS + self.route_level()
    }

    /// The level of the account, from 0.
    pub fn account_level(self) -> u8 {
        self.account.unwrap_or(self.route).min(LEVELS - 1)
    }

    /// The level of the route, from 0.
    pub fn route_level(self) -> u8 {
        self.route.min(LEVELS - 1)
    }
}
