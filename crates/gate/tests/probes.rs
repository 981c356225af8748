//! Rate limit on health probes.

use gate::{Action, Gate, RetentionLimits};
use note::Limits;
use proptest::{collection::vec, prelude::*};
use types::{Boot, Moment, Rate, Span};

fn limits(rate: f64) -> Limits {
    Limits {
        probes: Rate::new(rate).expect("a rate"),
        ..Limits::default()
    }
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::default() })]

    /// Holds for any sequence of timer ticks and changes of the limits.
    #[test]
    fn probes_stay_within_the_configured_rate(
        waits in vec((0..400_u64, prop::bool::weighted(0.05)), 1..400)
    ) {
        let mut gate = Gate::new(Boot(1), limits(2.0), RetentionLimits::default());
        gate.set_open(true);
        let began = Moment(10_000_000);
        let mut now = began;
        let mut probes = 0;
        for (wait, changes) in waits {
            now = now + Span::from_millis(wait);
            if changes {
                gate.set_limits(limits(2.0), now);
            }
            let actions = gate.tick(now);
            probes += actions.iter().filter(|a| **a == Action::Probe).count();
            gate.probed(None, now);
        }
        let max = 2.0 * now.since(began).0 as f64 / 1e6 + 1.0;
        prop_assert!(probes as f64 <= max, "{probes} of {max}");
        prop_assert!(probes as f64 >= max / 4.0 - 2.0, "too few probes: {probes}");
    }
}

#[test]
fn a_rate_of_zero_means_no_probes() {
    let mut gate = Gate::new(Boot(1), limits(0.0), RetentionLimits::default());
    gate.set_open(true);
    let now = Moment(3_600_000_000);
    assert_eq!(gate.tick(now), vec![]);
    assert_eq!(gate.next_tick(now), None);
}
