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
/// The memory that a held byte takes: allocations are larger than their content, and HTTP/2 windows
/// are not counted.
const MEMORY_PER_BYTE: f64 = 1.4;
/// The fraction of the usable memory that is held at least, on nodes with less memory than the
/// process itself is assumed to take.
const MIN_HELD: f64 = 0.35;
/// The fraction of the descriptors kept for control traffic and for connections to runners.
const CONTROL_DESCRIPTORS: f64 = 0.5;
/// The fraction of the memory for callers that their connections may take.
const CONNECTION_SHARE: f64 = 0.22;
/// The number of callers' connections on a node with hardly any memory.
const MIN_CONNECTIONS: u32 = 64;
/// What a connection takes: the state of its task, its socket, and a read buffer that a head of the
/// size [`Bounds::CONNECTION_HEAD`] has filled.
const CONNECTION: Size = Size(40 << 10);
/// The fraction of the memory for callers that connections to look-ups may take.
const LOOKUP_SHARE: f64 = 0.04;
/// The number of connections to look-ups on such a node.
const MIN_LOOKUPS: u32 = 32;
/// What a connection with a head of at most [`Bounds::CONTROL_HEAD`] takes.
const CONTROL_CONNECTION: Size = Size(24 << 10);
/// The fraction of the descriptors that connections of other nodes may take.
const PEER_DESCRIPTORS: f64 = 0.25;
/// The fraction of the memory for callers that may be received and not read while bodies wait.
const WAITING_SHARE: f64 = 0.04;
/// What the kernel keeps for a body that waits: its receive buffer.
const WAITING: Size = Size(64 << 10);
/// The range of the number of bodies that wait.
const WAITING_RANGE: (u32, u32) = (16, 256);
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
    /// The number of connections to look-ups.
    pub lookups: u32,
    /// The number of connections of other nodes.
    pub peers: u32,
    /// The number of bodies that wait for space. More are refused at once.
    pub waiting: u32,
    /// The rate of the link without the share of control traffic.
    pub link: Rate,
    /// The bytes waiting for the link from which new work is refused.
    pub link_full: Size,
    /// The bytes waiting for the link at which new work is accepted again.
    pub link_resume: Size,
}

impl Bounds {
    /// The size of a head with which a connection counts once, in bytes.
    pub const CONNECTION_HEAD: usize = 16 << 10;
    /// The size of a head on connections of other listeners, in bytes.
    pub const CONTROL_HEAD: usize = 8 << 10;

    /// The bounds of a node with these resources.
    pub fn of(resources: Resources) -> Self {
        let memory = resources.memory;
        let usable = memory.fraction(USABLE_MEMORY);
        let free = usable.less(memory.fraction(CONTROL_MEMORY)).less(PROCESS);
        let free = free.max(usable.fraction(MIN_HELD));
        let held = 1.0 - CONNECTION_SHARE - LOOKUP_SHARE - WAITING_SHARE;
        let total = free.fraction(held / MEMORY_PER_BYTE);
        let by_descriptors = f64::from(resources.descriptors) * (1.0 - CONTROL_DESCRIPTORS);
        let count = |share: f64, each: Size| {
            u32::try_from(free.fraction(share).0 / each.0).unwrap_or(u32::MAX)
        };
        let link = resources.link.fraction(1.0 - CONTROL_LINK);
        Self {
            total,
            stream_buffers: STREAM_BUFFERS.min(Size(total.0 / MIN_STREAMS)),
            stream: MIN_STREAM.max(Size(total.0 / FULL_STREAMS)),
            connections: (by_descriptors as u32)
                .min(count(CONNECTION_SHARE, CONNECTION).max(MIN_CONNECTIONS)),
            lookups: (by_descriptors as u32 / 4)
                .min(count(LOOKUP_SHARE, CONTROL_CONNECTION).max(MIN_LOOKUPS)),
            peers: ((f64::from(resources.descriptors) * PEER_DESCRIPTORS) as u32).max(1),
            waiting: count(WAITING_SHARE, WAITING).clamp(WAITING_RANGE.0, WAITING_RANGE.1),
            link,
            link_full: link.size(MAX_LINK_TIME),
            link_resume: link.size(LINK_RESUME_TIME),
        }
    }
}
