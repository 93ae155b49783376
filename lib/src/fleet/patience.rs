//! How long a runner is waited for before a request goes on elsewhere.
//!
//! Both errors cost: a request that stays with a dead runner misses its time, and one that is taken
//! from a runner that only has much to do was read there in vain, is read again elsewhere, and
//! spends the retry budget.

use std::time::Duration;

use super::load::Class;

/// How much later than predicted a prompt that can be on time may be read, as a factor and a time
/// besides: nine in ten are read within it.
const READING_SLACK: (f64, Duration) = (3.0, Duration::from_millis(400));
/// The shortest silence after which a stream goes on elsewhere. Shorter ones are common where a
/// runner reads a long prompt between two tokens.
const SILENCE: Duration = Duration::from_millis(1_000);
/// How many of the pauses that the route allows a runner may be silent, if that is longer.
const SILENT_PAUSES: f64 = 2.5;
/// The longest prediction that lengthens a wait, in seconds.
const LONGEST_PREDICTION: f64 = 10.0;

/// How long the reading of a prompt may take where `predicted` seconds are expected and `left` is
/// left of the request's time.
///
/// Late work has no bound but its time: it waits behind whatever comes later and is more urgent,
/// which no prediction knows. In a burst on a fleet of 140 small runners nine in ten of the readings
/// that were given up were of late work.
pub fn reading(class: Class, predicted: f64, left: Duration) -> Duration {
    if class == Class::LATE {
        return left;
    }
    let slack = Duration::from_secs_f64(bounded(predicted) * READING_SLACK.0) + READING_SLACK.1;
    left.min(slack)
}

/// How long a runner may be silent on a stream whose route allows `pause` between events, where the
/// next event is expected in `predicted` seconds.
pub fn silence(pause: Duration, predicted: f64) -> Duration {
    let pauses = pause.mul_f64(SILENT_PAUSES);
    SILENCE.max(pauses) + Duration::from_secs_f64(bounded(predicted))
}

fn bounded(predicted: f64) -> f64 {
    predicted.clamp(0.0, LONGEST_PREDICTION)
}
