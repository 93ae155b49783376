//! The fill level, as a fraction of all held bytes, up to which each purpose may fill the node.
//! What is nearer to its end may fill it further, so that work that has begun can end: new bodies
//! wait first, then bodies that are half read, relays, whole answers, and last the events of a
//! stream that runs.

/// New bodies.
pub const NEW_BODY: f64 = 0.5;
/// Bodies of unknown length that are being read, and bodies larger than all new ones together
/// may be.
pub const BODY: f64 = 0.6;
/// New requests that are small.
pub const SMALL_BODY: f64 = 0.7;
/// Relayed connections.
pub const TRANSFER: f64 = 0.7;
/// Streams beyond their part ([`Bounds::stream`](super::bounds::Bounds)).
pub const LARGE_STREAM: f64 = 0.7;
/// Whole answers.
pub const ANSWER: f64 = 0.85;
/// Streams within their part.
pub const STREAM: f64 = 0.9;
/// The first events of a stream, which readers that keep up need.
pub const SMALL_STREAM: f64 = 1.0;
