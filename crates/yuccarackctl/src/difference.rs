//! Field-by-field comparison of JSON values.

use serde::Serialize;
use serde_json::Value;

/// A field with different values.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct FieldChange {
    /// Path of the field, such as `routes[0].deadline_ms`.
    pub path: String,
    /// Old value; `None` if the field was added.
    pub old: Option<Value>,
    /// New value; `None` if the field was removed.
    pub new: Option<Value>,
}

impl std::fmt::Display for FieldChange {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match (&self.old, &self.new) {
            (Some(old), Some(new)) => write!(f, "{}: {old} -> {new}", self.path),
            (None, Some(new)) => write!(f, "{}: added {new}", self.path),
            (Some(old), None) => write!(f, "{}: removed {old}", self.path),
            (None, None) => write!(f, "{}", self.path),
        }
    }
}

/// Returns all fields that differ between `old` and `new`, in the order of `old`, then of `new`.
pub fn field_changes(old: &Value, new: &Value) -> Vec<FieldChange> {
    let mut changes = Vec::new();
    collect_changes("", Some(old), Some(new), &mut changes);
    changes
}

fn collect_changes(
    path: &str,
    old: Option<&Value>,
    new: Option<&Value>,
    changes: &mut Vec<FieldChange>,
) {
    match (old, new) {
        (old, new) if old == new => {}
        (Some(Value::Object(old_fields)), Some(Value::Object(new_fields))) => {
            for name in old_fields.keys() {
                collect_changes(
                    &join_path(path, name),
                    old_fields.get(name),
                    new_fields.get(name),
                    changes,
                );
            }
            for name in new_fields.keys().filter(|name| !old_fields.contains_key(*name)) {
                collect_changes(&join_path(path, name), None, new_fields.get(name), changes);
            }
        }
        (Some(Value::Array(old_items)), Some(Value::Array(new_items))) => {
            for index in 0..old_items.len().max(new_items.len()) {
                collect_changes(
                    &format!("{path}[{index}]"),
                    old_items.get(index),
                    new_items.get(index),
                    changes,
                );
            }
        }
        (old, new) => changes.push(FieldChange {
            path: path.to_owned(),
            old: old.cloned(),
            new: new.cloned(),
        }),
    }
}

fn join_path(path: &str, name: &str) -> String {
    if path.is_empty() { name.to_owned() } else { format!("{path}.{name}") }
}
