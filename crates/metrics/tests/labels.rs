//! Labels hold names as others choose them.

use metrics::{Crossing, Metrics};
use route::Reason;
use types::{ServiceId, Size, Span, ZoneId};

#[test]
fn names_of_any_kind_stay_within_their_label() {
    let name = "a \"b\"\\ {c=\"d\"}\n# \u{e9}";
    let metrics = Metrics::new();
    let service: ServiceId = name.parse().expect("a name");
    let zone: ZoneId = name.parse().expect("a name");
    metrics.record_answer(&service, Span(1), Span(1));
    metrics.record_team(name.into(), "run");
    metrics.record_crossing(&Crossing {
        service: &service,
        from: &zone,
        to: &zone,
        reason: Reason::Share,
        bytes: Size(1),
    });
    let text = metrics.prometheus_text();
    let escaped = r#""a \"b\"\\ {c=\"d\"}\n# é""#;
    for label in ["service", "team", "from", "to"] {
        let expected = format!("{label}={escaped}");
        assert!(text.contains(&expected), "{expected} in {text}");
    }
    let is_line = |line: &str| {
        line.starts_with('#')
            || line
                .rsplit(' ')
                .next()
                .is_some_and(|v| v.parse::<f64>().is_ok())
    };
    assert!(text.lines().all(is_line), "{text}");
}
