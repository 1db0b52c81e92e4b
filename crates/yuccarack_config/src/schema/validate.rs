//! Validation of a JSON value against a schema, which reports every error.
//!
//! A typed parse stops at the first error, while an operator who corrects a file needs all of them.

use serde_json::{Map, Value};

use super::{Field, Kind, Presence, Unique, field_names};
use crate::faults::{Fault, FaultKind};

/// Maximum number of characters of an invalid value that an error repeats.
const FOUND_LENGTH_MAX: usize = 80;

impl Kind {
    /// Validates `value`, found at `path`, and adds all of its errors to `faults`.
    pub fn check(&self, value: &Value, path: &str, faults: &mut Vec<Fault>) {
        match (self, value) {
            (Self::Object(fields), Value::Object(object)) => {
                check_object(fields, object, path, faults);
            }
            (Self::List { of, unique, .. }, Value::Array(items)) => {
                if !self.accepts(value) {
                    faults.push(self.value_fault(value, path));
                }
                check_items(of, items, path, faults);
                check_unique(*unique, items, path, faults);
            }
            _ if self.accepts(value) => {}
            _ => faults.push(self.value_fault(value, path)),
        }
    }

    fn accepts(&self, value: &Value) -> bool {
        match (self, value) {
            (Self::Number { min, max }, Value::Number(number)) => {
                number.as_u64().is_some_and(|number| (*min..=*max).contains(&number))
            }
            (Self::Rounded { min, max }, Value::Number(number)) => number
                .as_f64()
                .is_some_and(|number| (f64::from(*min)..=f64::from(*max)).contains(&number)),
            (Self::Bool, Value::Bool(_)) => true,
            (Self::List { length_min, length_max, .. }, Value::Array(items)) => {
                (*length_min..=*length_max).contains(&items.len())
            }
            (_, Value::String(text)) => self.accepts_text(text),
            _ => false,
        }
    }

    fn value_fault(&self, value: &Value, path: &str) -> Fault {
        Fault::new(
            file_if_empty(path),
            FaultKind::Value { found: excerpt(value), accepted: self.to_string() },
        )
    }
}

fn check_object(
    fields: &[Field],
    object: &Map<String, Value>,
    path: &str,
    faults: &mut Vec<Fault>,
) {
    for field in fields {
        let path = join(path, field.name);
        match (object.get(field.name), field.presence) {
            (None, Presence::Required) => {
                let accepted = field.kind.to_string();
                faults.push(Fault::new(path, FaultKind::Missing { accepted }));
            }
            (None, _) | (Some(Value::Null), Presence::Nullable) => {}
            (Some(value), _) => field.kind.check(value, &path, faults),
        }
    }
    for name in object.keys().filter(|name| fields.iter().all(|field| field.name != **name)) {
        let accepted = field_names(fields);
        faults.push(Fault::new(join(path, name), FaultKind::Unknown { accepted }));
    }
}

fn check_items(of: &Kind, items: &[Value], path: &str, faults: &mut Vec<Fault>) {
    for (index, item) in items.iter().enumerate() {
        of.check(item, &format!("{path}[{index}]"), faults);
    }
}

fn check_unique(unique: Unique, items: &[Value], path: &str, faults: &mut Vec<Fault>) {
    let path_of = |index: usize| match unique {
        Unique::Value => format!("{path}[{index}]"),
        Unique::Field(name) => format!("{path}[{index}].{name}"),
    };
    let key = |item: &Value| match unique {
        Unique::Value => Some(item.clone()),
        Unique::Field(name) => item.get(name).cloned(),
    };
    let keys: Vec<_> = items.iter().map(key).collect();
    for (index, key) in keys.iter().enumerate() {
        let Some(key) = key else { continue };
        let first = keys.iter().position(|other| other.as_ref() == Some(key)).unwrap_or(index);
        if first < index {
            let kind = FaultKind::Doubled { found: excerpt(key), first: path_of(first) };
            faults.push(Fault::new(path_of(index), kind));
        }
    }
}

/// Returns `value` as JSON, truncated to fit on a line of a terminal.
pub(crate) fn excerpt(value: &Value) -> String {
    let text = value.to_string();
    if text.chars().count() <= FOUND_LENGTH_MAX {
        return text;
    }
    text.chars().take(FOUND_LENGTH_MAX).chain("...".chars()).collect()
}

fn join(path: &str, name: &str) -> String {
    if path.is_empty() { name.to_owned() } else { format!("{path}.{name}") }
}

fn file_if_empty(path: &str) -> &str {
    if path.is_empty() { "file" } else { path }
}
