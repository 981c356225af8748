//! Tests of the validation of settings: errors name the field, and for an invalid value also what
//! is allowed.

use std::{error::Error, io, path::Path, process::Command};

use node::settings::parse;
use serde_json::{Value, json};

fn valid_settings() -> Value {
    json!({
        "host": "h", "zone": "z", "listen": "127.0.0.1:1", "node": "127.0.0.1:2",
        "admin": "127.0.0.1:3", "platform": "http://127.0.0.1:4",
    })
}

/// Returns the error message and its cause for settings with one field changed.
fn error_message(field: &str, value: Value) -> String {
    let mut settings = valid_settings();
    settings[field] = value;
    let error = parse(&settings.to_string()).expect_err("invalid settings");
    let cause = error.source().map(ToString::to_string).unwrap_or_default();
    format!("{error}: {cause}")
}

#[test]
fn missing_optional_fields_get_defaults() {
    let settings = parse(&valid_settings().to_string()).expect("valid settings");
    assert_eq!(settings.stop_ms, 10_000);
    assert_eq!(settings.policy.to_string(), "two-choices");
    assert_eq!(settings.offer_bytes.to_string(), "16384 B");
}

#[test]
fn the_lease_on_keys_is_a_number_or_a_text_with_a_unit() {
    for (value, millis) in [
        (json!(5_000), Some(5_000)),
        (json!("5000ms"), Some(5_000)),
        (json!("5s"), Some(5_000)),
        (Value::Null, None),
    ] {
        let mut settings = valid_settings();
        settings["key_lease_ms"] = value.clone();
        let settings = parse(&settings.to_string()).expect("valid settings");
        assert_eq!(settings.key_lease_ms, millis, "{value}");
    }
}

#[test]
fn the_command_line_sets_the_lease_on_keys_within_the_same_range() {
    let settings = || parse(&valid_settings().to_string()).expect("valid settings");
    let set = settings().with_key_lease("5s").expect("a valid time");
    assert_eq!(set.key_lease_ms, Some(5_000));
    for text in ["1s", "601s", "5", "true"] {
        assert!(settings().with_key_lease(text).is_err(), "{text}");
    }
}

#[test]
fn invalid_values_are_rejected() {
    let cases = [
        ("host", json!(""), "host"),
        ("zone", json!(""), "zone"),
        ("listen", json!("nowhere"), "listen"),
        ("listen", json!("127.0.0.1:0"), "a port other than 0"),
        ("node", json!("0.0.0.0:5"), "other nodes can reach"),
        ("admin", json!("127.0.0.1:1"), "three different addresses"),
        ("platform", json!("ftp://x"), "starts with http://"),
        ("reads", json!(0.0), "more than 0"),
        ("reads", json!(-1.0), "reads"),
        ("stop_ms", json!(1), "100 to 600000"),
        ("policy", json!("best"), "policy"),
        ("log", json!("loud"), "log"),
        ("colour", json!("red"), "unknown field `colour`"),
        ("conventions", json!("other"), "conventions"),
        ("lease_ms", json!(0), "1 to 600000"),
        ("key_lease_ms", json!(1_999), "2000 to 600000"),
        ("key_lease_ms", json!("601s"), "2000 to 600000"),
        ("key_lease_ms", json!("5"), "whole ms or s"),
        ("key_lease_ms", json!("-5s"), "whole ms or s"),
        ("key_lease_ms", json!(-1), "key_lease_ms"),
        ("linger_ms", json!(10_000), "less than stop_ms"),
        ("threads", json!(0), "1 or more"),
        ("repeats", json!(-1.0), "0 or more"),
        ("cold_over", json!(0.5), "1 or more"),
        ("zones", json!("all"), "zones"),
        ("zone_cost", json!(-1.0), "0 or more"),
        ("zone_cost", json!(10.0), "unless zones is shares or auto"),
        ("offer_bytes", json!(-1), "offer_bytes"),
        ("service", json!(""), "service"),
        ("service", json!(" a"), "a name that a header can hold"),
        ("service", json!("a\nb"), "a name that a header can hold"),
        (
            "readiness",
            json!({ "listen": "127.0.0.1:9", "path": "x" }),
            "starts with /",
        ),
        (
            "readiness",
            json!({ "listen": "127.0.0.1:1", "path": "/x" }),
            "an address that no other setting uses",
        ),
    ];
    for (field, value, expected) in cases {
        let text = error_message(field, value.clone());
        assert!(text.contains(expected), "{field} = {value}: {text}");
    }
}

#[test]
fn names_of_the_platform_are_taken_as_they_are() {
    for name in [
        "r_lists",
        "R-Lists",
        "a b",
        "\u{e9}t\u{e9}",
        &"n".repeat(300),
    ] {
        let mut settings = valid_settings();
        for field in ["host", "zone", "service"] {
            settings[field] = json!(name);
        }
        let settings = parse(&settings.to_string()).expect("valid settings");
        assert_eq!(settings.zone.as_str(), name);
        let service = settings.service.as_ref().map(types::ServiceId::as_str);
        assert_eq!(service, Some(name));
    }
}

#[test]
fn error_names_a_missing_field() {
    let mut settings = valid_settings();
    settings.as_object_mut().expect("an object").remove("zone");
    let error = parse(&settings.to_string()).expect_err("invalid settings");
    assert!(
        error
            .source()
            .is_some_and(|c| c.to_string().contains("`zone`"))
    );
}

#[test]
fn check_exits_with_2_for_invalid_settings() -> io::Result<()> {
    let folder = Path::new(env!("CARGO_TARGET_TMPDIR"));
    let check = |text: String| -> io::Result<Option<i32>> {
        let file = folder.join("settings.json");
        std::fs::write(&file, text)?;
        let program = env!("CARGO_BIN_EXE_amaranthyoked");
        Ok(Command::new(program)
            .arg("--check")
            .arg(&file)
            .output()?
            .status
            .code())
    };
    assert_eq!(check(valid_settings().to_string())?, Some(0));
    assert_eq!(check("{}".to_owned())?, Some(2));
    Ok(())
}

/// Placeholders of the settings template, with the values that a platform substitutes.
const SUBSTITUTIONS: [(&str, &str); 11] = [
    ("{{ip|json}}", "\"10.1.0.8\""),
    ("{{zone|json}}", "\"lautoka\""),
    ("{{service|json}}", "\"huvo11a\""),
    ("{{bind.outbound|json}}", "\"10.1.0.8:8304\""),
    ("{{bind.admin|json}}", "\"10.1.0.8:8305\""),
    ("{{ip}}:{{port_range.1}}", "10.1.0.8:7635"),
    ("{{bind.readiness|json}}", "\"10.1.0.8:8302\""),
    ("{{platform.address}}", "10.200.1.7:8309"),
    ("{{seeds|json}}", "[\"10.1.0.9:8305\"]"),
    ("{{bounds.budget_slack|json}}", "56"),
    ("{{bounds.cold_over|json}}", "1.5"),
];

#[test]
fn deployment_template_yields_valid_settings() {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../deploy/settings.json");
    let template = std::fs::read_to_string(path).expect("a readable template");
    let substitute = |text: String, (from, to): (&str, &str)| text.replace(from, to);
    let text = SUBSTITUTIONS.into_iter().fold(template, substitute);
    let settings = parse(&text).expect("valid settings");
    assert_eq!(settings.seeds.len(), 1);
    assert_eq!(settings.repeats, Some(56.0));
    assert!((settings.cold_over - 1.5).abs() < f64::EPSILON);
    assert!(settings.linger() < settings.stop_timeout());
}
