//! What differs between two configurations.

use std::{collections::BTreeMap, fmt};

use serde::Serialize;
use serde_json::{Map, Value};
use smol_str::{SmolStr, format_smolstr};

use crate::state::{Entry, State};

/// Fields whose values aren't shown.
const HIDDEN_FIELDS: [&str; 1] = ["keys"];
/// Shown in place of a hidden value.
const HIDDEN: &str = "...";

/// How an entry differs.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Change {
    /// It is new.
    Added,
    /// It is gone.
    Removed,
    /// A field has another value. Values are JSON, `None` if the field isn't set.
    Changed {
        /// Name of the field.
        field: SmolStr,
        /// Its value before.
        before: Option<SmolStr>,
        /// Its value now.
        after: Option<SmolStr>,
    },
}

/// A difference at one place of a configuration.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Difference {
    /// Entry that differs, such as `routes[NAME]`, or `limits`.
    pub place: SmolStr,
    /// How it differs.
    pub change: Change,
}

impl fmt::Display for Difference {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let value = |value: &Option<SmolStr>| value.clone().unwrap_or("unset".into());
        match &self.change {
            Change::Added => write!(f, "{}: added", self.place),
            Change::Removed => write!(f, "{}: removed", self.place),
            Change::Changed {
                field,
                before,
                after,
            } => write!(
                f,
                "{}.{field}: {} -> {}",
                self.place,
                value(before),
                value(after)
            ),
        }
    }
}

/// Lists what differs in the routes, services, teams and callers' limits of two states. Hashes of keys aren't shown.
///
/// # Panics
///
/// Never panics: entries of a state serialize to JSON objects.
pub fn diff(before: &State, after: &State) -> Vec<Difference> {
    let mut list = Vec::new();
    diff_entries("routes", &before.routes, &after.routes, &mut list);
    diff_entries("services", &before.services, &after.services, &mut list);
    diff_entries("teams", &before.teams, &after.teams, &mut list);
    diff_fields("limits", &before.callers, &after.callers, &mut list);
    list
}

fn diff_entries<K: Ord + fmt::Display, T: Serialize>(
    kind: &str,
    before: &BTreeMap<K, Entry<T>>,
    after: &BTreeMap<K, Entry<T>>,
    list: &mut Vec<Difference>,
) {
    for (id, old) in before {
        let place = format_smolstr!("{kind}[{id}]");
        match after.get(id) {
            Some(new) => diff_fields(&place, &old.item, &new.item, list),
            None => list.push(Difference {
                place,
                change: Change::Removed,
            }),
        }
    }
    for id in after.keys().filter(|id| !before.contains_key(id)) {
        list.push(Difference {
            place: format_smolstr!("{kind}[{id}]"),
            change: Change::Added,
        });
    }
}

fn diff_fields<T: Serialize>(place: &str, before: &T, after: &T, list: &mut Vec<Difference>) {
    let (before, after) = (fields(before), fields(after));
    let gone = before.keys().filter(|field| !after.contains_key(*field));
    for field in after.keys().chain(gone) {
        let (old, new) = (before.get(field), after.get(field));
        if old == new {
            continue;
        }
        let shown = |value: &Value| match HIDDEN_FIELDS.contains(&field.as_str()) {
            true => SmolStr::new_static(HIDDEN),
            false => format_smolstr!("{value}"),
        };
        list.push(Difference {
            place: place.into(),
            change: Change::Changed {
                field: field.into(),
                before: old.map(shown),
                after: new.map(shown),
            },
        });
    }
}

fn fields<T: Serialize>(entry: &T) -> Map<String, Value> {
    match serde_json::to_value(entry) {
        Ok(Value::Object(fields)) => fields,
        other => unreachable!("invariant: an entry is a JSON object, not {other:?}"),
    }
}
