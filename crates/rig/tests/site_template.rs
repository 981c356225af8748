//! Filling of the deploy file's template.

use rig::site::template::{TemplateError, fill};
use serde_json::json;

#[test]
fn placeholders_are_replaced_as_text_or_json() {
    let fields = json!({ "a": { "b": "x" }, "list": [1, "two"], "rate": 1.5 });
    let filled = fill(
        "{{a.b}} {{a.b|json}} {{list}} {{list|json}} {{list.1}} {{rate}}",
        &fields,
    );
    assert_eq!(filled.as_deref(), Ok(r#"x "x" 1,two [1,"two"] two 1.5"#));
}

#[test]
fn unknown_and_open_placeholders_are_errors() {
    let fields = json!({ "a": 1 });
    assert_eq!(
        fill("{{b}}", &fields),
        Err(TemplateError::Unknown("b".to_owned()))
    );
    assert_eq!(fill("{{a", &fields), Err(TemplateError::Open));
}
