//! Token buckets of one gateway: none of them admits more than the whole allotment of its workspace.

use crate::allotment::retry_after;
use crate::collector_bucket::TOLERATED_REQUESTS;
use crate::ids::WorkspaceName;
use crate::workspace::Allotment;
use std::collections::HashMap;
use std::time::{Duration, Instant};

/// Number of buckets below which none is dropped.
const MIN_BUCKETS: usize = 64;

#[derive(Clone, Copy, Debug)]
struct GatewayBucket {
    allotment: Allotment,
    /// Requests that may be admitted now, from 0 to the depth.
    level: f64,
    at: Instant,
}

impl GatewayBucket {
    /// Most requests that the collectors let all gateways together admit at once.
    fn depth(allotment: &Allotment) -> f64 {
        allotment.burst_requests as f64 + TOLERATED_REQUESTS
    }

    fn level_at(&self, now: Instant) -> f64 {
        let passed = now.saturating_duration_since(self.at).as_secs_f64();
        let level = self.level + self.allotment.rate_per_s() * passed;
        level.min(Self::depth(&self.allotment))
    }

    fn is_full(&self, now: Instant) -> bool {
        self.level_at(now) >= Self::depth(&self.allotment)
    }
}

/// The buckets of the workspaces that send requests through a gateway. One that is not stored is full.
#[derive(Debug, Default)]
pub(crate) struct GatewayBuckets {
    buckets: HashMap<WorkspaceName, GatewayBucket>,
    /// Number of buckets at which the full ones are dropped; twice what the last time left, so that
    /// the cost per request does not grow with their number.
    most_buckets: usize,
}

impl GatewayBuckets {
    /// Takes one request from a bucket, or returns the time after which a caller is likely to be admitted:
    /// the bucket holds a request, and the collectors' shares no longer follow from the demand that
    /// emptied it.
    pub(crate) fn take(
        &mut self,
        name: &str,
        allotment: &Allotment,
        now: Instant,
    ) -> Result<(), Duration> {
        let depth = GatewayBucket::depth(allotment);
        let known = self.buckets.get_mut(name);
        let level = known.as_ref().map_or(depth, |b| b.level_at(now).min(depth));
        if level < 1.0 {
            return Err(retry_after(1.0 - level, allotment, 0.0));
        }
        let bucket = GatewayBucket {
            allotment: *allotment,
            level: level - 1.0,
            at: now,
        };
        match known {
            Some(known) => *known = bucket,
            None => self.insert(name, bucket),
        }
        Ok(())
    }

    /// Puts back a request that was taken and has not run.
    pub(crate) fn put_back(&mut self, name: &str) {
        if let Some(bucket) = self.buckets.get_mut(name) {
            bucket.level += 1.0;
        }
    }

    pub(crate) fn clear(&mut self) {
        self.buckets.clear();
    }

    fn insert(&mut self, name: &str, bucket: GatewayBucket) {
        if self.buckets.len() >= self.most_buckets.max(MIN_BUCKETS) {
            self.buckets.retain(|_, known| !known.is_full(bucket.at));
            self.most_buckets = self.buckets.len() * 2;
        }
        self.buckets.insert(name.to_owned(), bucket);
    }
}
