//! How long a node waits for a runner before it moves a request to another one.
//!
//! Both errors are costly. A request that stays with a dead runner misses its deadline. A request
//! that is taken from a runner that is merely busy wastes the prefill done there, is prefilled
//! again elsewhere, and uses up retry budget.

use std::time::Duration;

use super::load::Class;

/// How much longer than predicted the prefill of work that can be on time may take: a factor, and a
/// time added to it. Nine in ten prefills end within it.
const PREFILL_SLACK: (f64, Duration) = (3.0, Duration::from_millis(400));
/// The shortest silence after which a stream is moved. Shorter ones are common when a runner
/// prefills a long prompt between two tokens.
const MIN_STALL_TIMEOUT: Duration = Duration::from_millis(1_000);
/// The silence after which a stream is moved, as a multiple of the pause that the route allows, if
/// that is longer.
const STALL_PAUSES: f64 = 2.5;
/// The upper bound on predictions that extend a timeout, in seconds.
const MAX_PREDICTION: f64 = 10.0;

/// The timeout for the prefill of a prompt that is predicted to take `predicted` seconds, with
/// `left` remaining of the request's time.
///
/// Late work is bounded only by its remaining time: it waits behind more urgent work that arrives
/// later, which no prediction can include. With a timeout based on the prediction, most of the
/// prefills given up in a burst would be late work.
pub fn prefill(class: Class, predicted: f64, left: Duration) -> Duration {
    if class == Class::LATE {
        return left;
    }
    let slack = Duration::from_secs_f64(bounded(predicted) * PREFILL_SLACK.0) + PREFILL_SLACK.1;
    left.min(slack)
}

/// The timeout between events of a stream whose route allows `pause` between events, if the next
/// event is predicted in `predicted` seconds.
pub fn stall(pause: Duration, predicted: f64) -> Duration {
    let pauses = pause.mul_f64(STALL_PAUSES);
    MIN_STALL_TIMEOUT.max(pauses) + Duration::from_secs_f64(bounded(predicted))
}

fn bounded(predicted: f64) -> f64 {
    predicted.clamp(0.0, MAX_PREDICTION)
}
