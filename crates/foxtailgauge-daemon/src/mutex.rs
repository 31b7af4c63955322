//! Mutexes, and the longest time that a thread has waited for one.
//!
//! In builds with debug assertions the mutexes record the order in which threads lock them. A thread
//! that locks two of them against that order ends the process, whether or not another thread is there
//! to wait for it: see [`end_process_at_cycles`].

#[cfg(debug_assertions)]
use std::backtrace::Backtrace;
use std::panic::Location;
use std::sync::{PoisonError, TryLockError};
use std::time::{Duration, Instant};
pub(crate) use tracing_mutex::stdsync::{Mutex, MutexGuard};

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

/// Ends the process once two mutexes are locked in opposite orders. Without it the thread panics, which
/// the tasks of connections survive.
pub(crate) fn end_process_at_cycles() {
    #[cfg(debug_assertions)]
    tracing_mutex::util::set_cycle_handler(|report| {
        eprintln!("{report}\n{}", Backtrace::force_capture());
        std::process::abort();
    });
}

/// The longest wait since the last call, if one was long.
pub(crate) fn take_longest() -> Option<LockWait> {
    LONGEST
        .lock()
        .unwrap_or_else(PoisonError::into_inner)
        .take()
}
