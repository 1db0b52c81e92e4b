//! Errors of settings, rules and routing files.

use std::{
    fmt, io,
    path::{Path, PathBuf},
};

use serde::{Deserialize, Serialize, de::DeserializeOwned};
use serde_json::Value;
use thiserror::Error;

/// One validation error of a file.
#[derive(Clone, Debug, PartialEq, Eq, Error, Serialize, Deserialize)]
#[error("{path}: {kind}")]
pub struct Fault {
    /// Path within the file, such as `services[2].routes[0].deadline_ms`; `file` for the file as a
    /// whole.
    pub path: String,
    /// Kind of the error.
    #[serde(flatten)]
    pub kind: FaultKind,
}

/// The kind of a validation error, with what was found and what would be accepted.
#[derive(Clone, Debug, PartialEq, Eq, Error, Serialize, Deserialize)]
#[serde(tag = "fault", rename_all = "snake_case")]
pub enum FaultKind {
    /// The text is not valid JSON, or has a duplicate field.
    #[error("line {line}, column {column}: {reason}")]
    Syntax {
        /// Line of the error, counted from 1.
        line: usize,
        /// Column of the error, counted from 1.
        column: usize,
        /// Message of the JSON parser.
        reason: String,
    },
    /// A required field is missing.
    #[error("missing, accepted {accepted}")]
    Missing {
        /// Description of the accepted values.
        accepted: String,
    },
    /// A field is not part of the schema at this place.
    #[error("unknown field, accepted {accepted}")]
    Unknown {
        /// Names of the accepted fields.
        accepted: String,
    },
    /// A value is out of range or of the wrong type.
    #[error("found {found}, accepted {accepted}")]
    Value {
        /// Excerpt of the value.
        found: String,
        /// Description of the accepted values.
        accepted: String,
    },
    /// A value that must be unique occurs twice.
    #[error("found {found}, which is a duplicate of {first}")]
    Doubled {
        /// Excerpt of the value.
        found: String,
        /// Path of its first occurrence.
        first: String,
    },
    /// No request can match a route or one of its methods.
    #[error("{found} is unreachable, {by} matches first")]
    Unreachable {
        /// The path prefix, or the method and the path prefix, that is never matched.
        found: String,
        /// Path of the earlier route that matches instead.
        by: String,
    },
}

/// All validation errors of one file, at least one; displayed one per line.
#[derive(Clone, Debug, PartialEq, Eq, Error, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Faults(pub Vec<Fault>);

/// Error of loading a file.
#[derive(Debug, Error)]
pub enum FileError {
    /// The file can't be read.
    #[error("{}: {source}", .path.display())]
    Unreadable {
        /// Path of the file.
        path: PathBuf,
        /// Error of the operating system.
        source: io::Error,
    },
    /// The file was read, but its content isn't valid.
    #[error("{0}")]
    Invalid(#[from] Faults),
}

impl Fault {
    /// Creates an error of `kind` at `path`.
    pub fn new(path: impl Into<String>, kind: FaultKind) -> Self {
        Self { path: path.into(), kind }
    }

    /// Creates the error of a file that the JSON parser rejects.
    pub(crate) fn syntax(error: &serde_json::Error) -> Self {
        let (line, column) = (error.line(), error.column());
        let text = error.to_string();
        let reason = text.split(" at line ").next().unwrap_or_default().to_owned();
        Self::new("file", FaultKind::Syntax { line, column, reason })
    }
}

impl fmt::Display for Faults {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (index, fault) in self.0.iter().enumerate() {
            if index > 0 {
                writeln!(f)?;
            }
            write!(f, "{fault}")?;
        }
        Ok(())
    }
}

/// Reads the complete file at `path`.
pub(crate) fn read(path: &Path) -> Result<Vec<u8>, FileError> {
    std::fs::read(path).map_err(|source| FileError::Unreadable { path: path.to_owned(), source })
}

/// Parses `text` as a `T` if `check` finds no error in it.
pub(crate) fn parse<T: DeserializeOwned>(
    text: &[u8],
    check: fn(&Value) -> Vec<Fault>,
) -> Result<T, FileError> {
    let syntax_fault = |error: serde_json::Error| Faults(vec![Fault::syntax(&error)]);
    let value = serde_json::from_slice(text).map_err(syntax_fault)?;
    let faults = check(&value);
    if !faults.is_empty() {
        return Err(Faults(faults).into());
    }
    // Parse the text again, not `value`: `Value` silently keeps the last of two equal field names,
    // and only the typed parse reports the duplicate.
    serde_json::from_slice(text).map_err(|error| syntax_fault(error).into())
}
