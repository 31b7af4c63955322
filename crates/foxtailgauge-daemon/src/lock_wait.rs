//! Locking of mutexes, and the longest time that a thread has waited for one.

use std::panic::Location;
use std::sync::{Mutex, MutexGuard, PoisonError, TryLockError};
use std::time::{Duration, Instant};

/// Shorter waits are not recorded: a thread without a processor may hold a lock for a while.
const MIN_WAIT: Duration = Duration::from_millis(500);

/// A wait for a mutex, and where it was locked.
#[derive(Clone, Copy, Debug)]
pub(crate) struct LockWait {
    pub(crate) wait: Duration,
    pub(crate) location: &'static Location<'static>,
}

static LONGEST: Mutex<Option<LockWait>> = Mutex::new(None);

/// Locks a mutex and ignores poisoning: every guarded value stays consistent if a holder panics.
#[track_caller]
pub(crate) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    match mutex.try_lock() {
        Ok(guard) => guard,
        Err(TryLockError::Poisoned(error)) => error.into_inner(),
        Err(TryLockError::WouldBlock) => lock_and_time(mutex, Location::caller()),
    }
}

fn lock_and_time<'a, T>(
    mutex: &'a Mutex<T>,
    location: &'static Location<'static>,
) -> MutexGuard<'a, T> {
    let started_at = Instant::now();
    let guard = mutex.lock().unwrap_or_else(PoisonError::into_inner);
    let wait = started_at.elapsed();
    if wait >= MIN_WAIT {
        let mut longest = LONGEST.lock().unwrap_or_else(PoisonError::into_inner);
        if longest.is_none_or(|longest| longest.wait < wait) {
            *longest = Some(LockWait { wait, location });
        }
    }
    guard
}

/// The longest wait since the last call, if one was long.
pub(crate) fn take_longest() -> Option<LockWait> {
    LONGEST
        .lock()
        .unwrap_or_else(PoisonError::into_inner)
        .take()
}
