use {
    crate::clock::Instant,
    std::{collections::HashMap, sync::Mutex},
};

/// Burst size, as the requests of this many seconds.
const BURST_SECONDS: f64 = 1.0;

/// Token buckets that limit the request rate of each service on this host.
#[derive(Debug, Default)]
pub struct RateLimits {
    buckets: Mutex<HashMap<String, Bucket>>,
}

#[derive(Debug)]
struct Bucket {
    tokens: f64,
    refilled_at: Instant,
}

impl RateLimits {
    /// Counts one request against `rate`, in requests per second; 0 is unlimited. Returns false if the service is over it.
    pub fn admit(
        &self,
        service: &str,
        rate: f64,
        now: Instant,
    ) -> bool {
        if rate <= 0.0 {
            return true;
        }
        let capacity = (rate * BURST_SECONDS).max(1.0);
        let mut buckets = self.buckets.lock().expect("no holder panics");
        let bucket = buckets.entry(service.to_string()).or_insert(Bucket {
            tokens: capacity,
            refilled_at: now,
        });
        let elapsed = now
            .saturating_duration_since(bucket.refilled_at)
            .as_secs_f64();
        bucket.tokens = (bucket.tokens + elapsed * rate).min(capacity);
        bucket.refilled_at = now;
        let admits = bucket.tokens >= 1.0;
        if admits {
            bucket.tokens -= 1.0;
        }
        admits
    }
}
