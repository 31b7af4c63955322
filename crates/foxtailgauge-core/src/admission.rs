//! Admission control of a backend server: a request runs, waits for a slot or is refused.

use std::time::Duration;

/// Weight of the newest sample in the mean run time.
const RUN_TIME_WEIGHT: f64 = 0.2;
/// Run time assumed before the first sample.
const INITIAL_RUN_TIME: Duration = Duration::from_millis(5);

/// Why a request was refused. No part of it has run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AdmissionRefusal {
    /// The backend server is draining.
    Draining,
    /// The queue is full.
    QueueFull {
        /// Time after which the request may be retried.
        retry_after: Duration,
    },
    /// The expected wait and run time exceed the time left until the deadline.
    TooLate {
        /// Time after which the request may be retried.
        retry_after: Duration,
    },
}

/// Decision on an arriving request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// The request runs now and takes a slot.
    Run,
    /// The request waits and counts towards the queue limit.
    Wait,
    /// The request is refused immediately.
    Refused(AdmissionRefusal),
}

/// Counts the running and waiting requests of one backend server.
///
/// Invariants: `running <= slots`, except after slots were withdrawn while requests run; no request
/// waits while a slot is free and the gate is not draining.
#[derive(Clone, Debug)]
pub struct AdmissionGate {
    slots: u32,
    queue_limit: u64,
    running: u32,
    waiting: u64,
    is_draining: bool,
    mean_run_time: Duration,
}

impl AdmissionGate {
    /// Creates a gate for a backend server; `queue_limit` is the most requests that may wait.
    pub fn new(slots: u32, queue_limit: u64) -> Self {
        AdmissionGate {
            slots,
            queue_limit,
            running: 0,
            waiting: 0,
            is_draining: false,
            mean_run_time: INITIAL_RUN_TIME,
        }
    }

    /// Requests running.
    pub fn running(&self) -> u32 {
        self.running
    }

    /// Requests waiting.
    pub fn waiting(&self) -> u64 {
        self.waiting
    }

    /// Slots of the backend server.
    pub fn slots(&self) -> u32 {
        self.slots
    }

    /// Applies a new announcement and, if given, a new queue limit. A reduction of the slots takes
    /// effect as requests finish.
    pub fn configure(&mut self, slots: u32, queue_limit: Option<u64>, is_draining: bool) {
        self.slots = slots;
        self.queue_limit = queue_limit.unwrap_or(self.queue_limit);
        self.is_draining = is_draining;
    }

    /// Decides on an arriving request with `time_left` until its deadline.
    pub fn arrive(&mut self, time_left: Duration) -> Admission {
        if self.is_draining {
            return Admission::Refused(AdmissionRefusal::Draining);
        }
        if self.running < self.slots && self.waiting == 0 {
            self.running += 1;
            return Admission::Run;
        }
        let wait = self.expected_wait();
        if self.waiting >= self.queue_limit {
            return Admission::Refused(AdmissionRefusal::QueueFull { retry_after: wait });
        }
        if wait + self.mean_run_time > time_left {
            return Admission::Refused(AdmissionRefusal::TooLate { retry_after: wait });
        }
        self.waiting += 1;
        Admission::Wait
    }

    /// Records the end of a run; returns whether a waiting request takes over the slot.
    pub fn finish(&mut self, run_time: Option<Duration>) -> bool {
        if let Some(run_time) = run_time {
            let mean = self.mean_run_time.as_secs_f64() * (1.0 - RUN_TIME_WEIGHT);
            let sample = run_time.as_secs_f64() * RUN_TIME_WEIGHT;
            self.mean_run_time = Duration::from_secs_f64(mean + sample);
        }
        self.running = self.running.saturating_sub(1);
        if self.waiting > 0 && self.running < self.slots {
            self.waiting -= 1;
            self.running += 1;
            return true;
        }
        false
    }

    /// Removes a waiting request that was cancelled or has timed out.
    pub fn abandon(&mut self) {
        self.waiting = self.waiting.saturating_sub(1);
    }

    /// Forecast wait of a request that arrives now.
    pub fn expected_wait(&self) -> Duration {
        let ahead = self.waiting as f64 + 1.0;
        self.mean_run_time
            .mul_f64(ahead / f64::from(self.slots.max(1)))
    }
}
