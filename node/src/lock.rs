//! Locking state that parts of the node share.

use std::sync::{Mutex, MutexGuard, PoisonError};

/// Locks a mutex whose holders do not panic in the middle of a change; if one did, what it guards is
/// still a hint or is replaced as a whole.
pub fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
