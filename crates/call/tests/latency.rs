//! Tests of latency estimates at an ingress that sees few requests of a kind.

use call::LatencyEstimate;
use rand::{RngExt, SeedableRng, rngs::SmallRng};
use types::Span;

fn millis(range: std::ops::Range<u64>, rng: &mut SmallRng) -> Span {
    Span::from_millis(rng.random_range(range))
}

#[test]
fn few_samples_suffice_for_a_usable_service_time() {
    for seed in 0..100 {
        let mut rng = SmallRng::seed_from_u64(seed);
        let mut estimate = LatencyEstimate::default();
        for _ in 0..5 {
            let service_time = millis(200..400, &mut rng);
            estimate.record(service_time, service_time);
        }
        let usual = estimate.service_time();
        assert!(usual >= Span::from_millis(150), "{usual} after seed {seed}");
        assert!(usual <= Span::from_millis(600), "{usual} after seed {seed}");
    }
}

#[test]
fn a_hedge_waits_longer_than_the_first_answer_took() {
    let mut estimate = LatencyEstimate::default();
    let latency = Span::from_millis(300);
    estimate.record(latency, latency);
    assert!(estimate.timeouts().hedge_delay > latency);
}
