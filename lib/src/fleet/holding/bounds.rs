//! The bounds of a node, derived of what it has.

use std::time::Duration;

use super::unit::{Rate, Size};

/// What a node has.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Resources {
    /// Its memory.
    pub memory: Size,
    /// The number of descriptors that it may open.
    pub descriptors: u32,
    /// The rate of its link.
    pub link: Rate,
}

impl Default for Resources {
    /// Those of a node whose settings do not state them.
    fn default() -> Self {
        let (memory, link) = (Size::of_megabytes(512.0), Rate::of_megabits(1_000.0));
        Self { memory, descriptors: 8_192, link }
    }
}

/// The fraction of the memory that a node may use (requirement).
const USABLE_MEMORY: f64 = 0.8;
/// The memory of a node that holds nothing: code, configuration, register, roster and log buffer.
const PROCESS: Size = Size(24 << 20);
/// The fraction of the memory kept for control traffic, which goes on while the rest is full.
const CONTROL_MEMORY: f64 = 0.05;
/// The memory that a held byte takes: allocations are larger than their content, and the buffers of
/// sockets and HTTP/2 windows are not counted.
const MEMORY_PER_BYTE: f64 = 1.5;
/// The fraction of the usable memory that is held at least, on nodes with less memory than the
/// process itself is assumed to take.
const MIN_HELD: f64 = 0.25;
/// The fraction of the descriptors kept for control traffic and for connections to runners.
const CONTROL_DESCRIPTORS: f64 = 0.5;
/// The fraction of the held bytes that the buffers of callers' connections may take.
const CONNECTION_SHARE: f64 = 0.3;
/// What a caller's connection takes: the read buffer, the state of its task and its socket.
const CONNECTION: Size = Size(16 << 10);
/// The fraction of the link kept for control traffic.
const CONTROL_LINK: f64 = 0.1;
/// How long what waits to be sent may take the link. Callers of the shortest streams wait two
/// seconds without receiving anything, and answers that wait for longer are of no use to them.
const MAX_LINK_TIME: Duration = Duration::from_secs(2);
/// The time for which answers wait for the link when new work is accepted again.
const LINK_RESUME_TIME: Duration = Duration::from_secs(1);
/// The smallest held bytes of a stream without a pause.
const MIN_STREAM: Size = Size(64 << 10);
/// The number of streams that fill a node before reading from their runners pauses.
const FULL_STREAMS: u64 = 256;

/// The buffers of the two connections of a stream. 1,000 streams took 80 MB more than what was
/// counted without it.
const STREAM_BUFFERS: Size = Size(64 << 10);
/// The number of streams whose buffers fill a node at least: one with little memory still serves.
const MIN_STREAMS: u64 = 1_024;

/// The bounds of a node.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Bounds {
    /// All held bytes.
    pub total: Size,
    /// The held bytes of a stream from which reading from its runner pauses.
    pub stream: Size,
    /// What a stream takes apart from its unread events: the buffers of its two connections.
    pub stream_buffers: Size,
    /// The number of callers' connections.
    pub connections: u32,
    /// The rate of the link without the share of control traffic.
    pub link: Rate,
    /// The bytes waiting for the link from which new work is refused.
    pub link_full: Size,
    /// The bytes waiting for the link at which new work is accepted again.
    pub link_resume: Size,
}

impl Bounds {
    /// The bounds of a node with these resources.
    pub fn of(resources: Resources) -> Self {
        let memory = resources.memory;
        let usable = memory.fraction(USABLE_MEMORY);
        let free = usable.less(memory.fraction(CONTROL_MEMORY)).less(PROCESS);
        let total = free.max(usable.fraction(MIN_HELD)).fraction(1.0 / MEMORY_PER_BYTE);
        let by_descriptors = f64::from(resources.descriptors) * (1.0 - CONTROL_DESCRIPTORS);
        let by_memory = total.fraction(CONNECTION_SHARE).0 / CONNECTION.0;
        let link = resources.link.fraction(1.0 - CONTROL_LINK);
        Self {
            total,
            stream_buffers: STREAM_BUFFERS.min(Size(total.0 / MIN_STREAMS)),
            stream: MIN_STREAM.max(Size(total.0 / FULL_STREAMS)),
            connections: (by_descriptors as u32)
                .min(u32::try_from(by_memory).unwrap_or(u32::MAX))
                .max(1),
            link,
            link_full: link.size(MAX_LINK_TIME),
            link_resume: link.size(LINK_RESUME_TIME),
        }
    }
}
