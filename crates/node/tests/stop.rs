//! Times of a graceful shutdown by the grace period of the platform and by the settings.

use node::{
    settings::{self, Settings},
    stop::{Grace, GraceError, StopTimes},
};
use serde_json::json;
use types::Span;

fn settings() -> Settings {
    let text = json!({
        "host": "h", "zone": "z", "listen": "127.0.0.1:1", "node": "127.0.0.1:2",
        "admin": "127.0.0.1:3", "platform": "http://127.0.0.1:4", "linger_ms": 2_300,
        "stop_ms": 9_000,
    });
    settings::parse(&text.to_string()).expect("valid settings")
}

fn stop_times(grace: Option<&str>) -> StopTimes {
    let grace = grace.map(|text| text.parse().expect("a valid grace period"));
    StopTimes::new(&settings(), grace)
}

/// Linger time and stop limit in milliseconds.
fn times(grace: Option<&str>) -> (u64, u64) {
    let StopTimes { linger, limit, .. } = stop_times(grace);
    (linger.as_millis(), limit.as_millis())
}

/// Nodes exited after 5.3 s wherever they ran, and cut requests that had 4.7 s of the grace period left.
#[test]
fn a_node_exits_in_the_last_sixth_of_the_grace_period() {
    for (text, ms) in [
        ("100ms", 100),
        ("1500ms", 1_500),
        ("7.5s", 7_500),
        ("6s", 6_000),
        ("10s", 10_000),
    ] {
        let (_, limit) = times(Some(text));
        assert!(limit < ms, "{text}: {limit}");
        assert!(
            Span::from_millis(limit) >= Span::from_millis(ms).scale(5.0 / 6.0),
            "{text}: {limit}"
        );
    }
}

/// Before the last sixth, a server may be at work on a request that is queued now.
#[test]
fn queued_requests_are_refused_in_the_last_sixth_of_the_grace_period() {
    for (text, ms) in [
        ("100ms", 100),
        ("1500ms", 1_500),
        ("6s", 6_000),
        ("60s", 60_000),
    ] {
        let StopTimes { queue, limit, .. } = stop_times(Some(text));
        assert!(
            queue >= Span::from_millis(ms).scale(5.0 / 6.0),
            "{text}: {queue:?}"
        );
        assert!(queue < limit, "{text}: {queue:?} {limit:?}");
    }
}

#[test]
fn the_settings_hold_without_a_grace_period() {
    assert_eq!(times(None), (2_300, 9_000));
}

#[test]
fn a_short_grace_period_shortens_the_linger_time() {
    assert_eq!(times(Some("6s")), (2_300, 5_500));
    let (linger, limit) = times(Some("2s"));
    assert!(linger * 2 <= limit, "{linger} {limit}");
}

#[test]
fn a_text_that_is_no_grace_period_is_refused() {
    let cases = [
        ("", GraceError::NoUnit),
        ("6", GraceError::NoUnit),
        ("6m", GraceError::NoUnit),
        ("s", GraceError::NotANumber),
        ("-6s", GraceError::NotANumber),
        ("1.5.5s", GraceError::NotANumber),
        ("NaNs", GraceError::NotANumber),
        ("infs", GraceError::NotANumber),
        ("0s", GraceError::OutOfRange),
        ("601s", GraceError::OutOfRange),
        ("18446744073709551615s", GraceError::OutOfRange),
    ];
    for (text, error) in cases {
        assert_eq!(text.parse::<Grace>(), Err(error), "{text}");
    }
}
