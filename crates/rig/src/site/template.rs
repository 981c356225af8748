//! Fills the placeholders of the deploy file's template from a tree of fields.

use std::{error::Error, fmt};

use serde_json::Value;

/// Error of a template.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum TemplateError {
    /// A placeholder names a field that there isn't.
    Unknown(String),
    /// A placeholder doesn't end.
    Open,
}

impl fmt::Display for TemplateError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Unknown(name) => write!(f, "unknown placeholder {name}"),
            Self::Open => f.write_str("a placeholder doesn't end"),
        }
    }
}

impl Error for TemplateError {}

/// Replaces each `{{a.b}}` by the value at that place of `fields`, and each `{{a.b|json}}` by its JSON.
///
/// # Errors
///
/// Returns an error if a placeholder names no field or doesn't end.
pub fn fill(template: &str, fields: &Value) -> Result<String, TemplateError> {
    let mut filled = String::new();
    let mut rest = template;
    while let Some((before, after)) = rest.split_once("{{") {
        let (placeholder, after) = after.split_once("}}").ok_or(TemplateError::Open)?;
        let (name, is_json) = match placeholder.strip_suffix("|json") {
            Some(name) => (name, true),
            None => (placeholder, false),
        };
        let pointer = format!("/{}", name.replace('.', "/"));
        let value = fields.pointer(&pointer);
        let value = value.ok_or_else(|| TemplateError::Unknown(name.to_owned()))?;
        filled.push_str(before);
        match is_json {
            true => filled.push_str(&value.to_string()),
            false => filled.push_str(&plain(value)),
        }
        rest = after;
    }
    filled.push_str(rest);
    Ok(filled)
}

/// A value without quotes. Lists are joined by commas, tables are JSON.
fn plain(value: &Value) -> String {
    match value {
        Value::Null => String::new(),
        Value::String(text) => text.clone(),
        Value::Array(list) => list.iter().map(plain).collect::<Vec<_>>().join(","),
        other => other.to_string(),
    }
}
