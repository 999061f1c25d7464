//! Locks standard mutexes.

use std::sync::{Mutex, MutexGuard};

/// Locks a mutex.
///
/// # Panics
///
/// Panics if another thread panicked while it held the lock, since the process must not go on after that.
pub fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().expect("mutex is not poisoned")
}
