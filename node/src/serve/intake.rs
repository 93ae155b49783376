//! Space for answers and events of runners that are read whole before they are passed on.
//!
//! Small ones need none. A node reads only a few large ones at a time; the others wait in their
//! sockets. So answers without end cannot take more memory than answers of the largest size.

use std::sync::Arc;

use tokio::sync::{OwnedSemaphorePermit, Semaphore};

/// What an answer or an event may take without space reserved for it, in bytes.
pub const UNRESERVED_BYTES: usize = 64 << 10;
/// The space of a node, in bytes: a fifth of the memory of the smallest VM.
const TOTAL_BYTES: usize = 32 << 20;
/// The unit of space, in bytes.
const UNIT_BYTES: usize = 1 << 10;
const UNITS: usize = TOTAL_BYTES / UNIT_BYTES;

/// The space of a node.
#[derive(Clone, Debug)]
pub struct Intake(Arc<Semaphore>);

/// Reserved space, until dropped.
#[derive(Debug)]
pub struct Space {
    _permit: Option<OwnedSemaphorePermit>,
}

impl Default for Intake {
    fn default() -> Self {
        Self(Arc::new(Semaphore::new(UNITS)))
    }
}

impl Intake {
    /// Reserves space for up to `bytes`, in the order of requests for it. All of it is reserved at
    /// once, as those that hold a part could otherwise wait for each other.
    pub async fn reserve(&self, bytes: usize) -> Space {
        let units = u32::try_from(bytes.div_ceil(UNIT_BYTES).min(UNITS)).unwrap_or(u32::MAX);
        // The semaphore is never closed.
        Space { _permit: self.0.clone().acquire_many_owned(units).await.ok() }
    }
}
