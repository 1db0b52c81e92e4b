//! What can be wrong with a file of settings or rules.

use std::{
    fmt, io,
    path::{Path, PathBuf},
};

use serde::{Deserialize, Serialize, de::DeserializeOwned};
use serde_json::Value;
use thiserror::Error;

/// One fault of a file.
#[derive(Clone, Debug, PartialEq, Eq, Error, Serialize, Deserialize)]
#[error("{path}: {kind}")]
pub struct Fault {
    /// Where in the file, like `services[2].routes[0].deadline_ms`; `file` for the whole of it.
    pub path: String,
    /// What is wrong there.
    #[serde(flatten)]
    pub kind: FaultKind,
}

/// What is wrong at one place of a file.
#[derive(Clone, Debug, PartialEq, Eq, Error, Serialize, Deserialize)]
#[serde(tag = "fault", rename_all = "snake_case")]
pub enum FaultKind {
    /// The text is not JSON, or names a field twice.
    #[error("line {line}, column {column}: {reason}")]
    Syntax {
        /// Line of the fault, from 1.
        line: usize,
        /// Column of the fault, from 1.
        column: usize,
        /// What the parser said.
        reason: String,
    },
    /// A field that has no default is not there.
    #[error("missing, accepted {accepted}")]
    Missing {
        /// What may stand there.
        accepted: String,
    },
    /// A field that has no meaning here.
    #[error("unknown field, accepted {accepted}")]
    Unknown {
        /// The fields that may stand there.
        accepted: String,
    },
    /// A value outside of what is accepted.
    #[error("found {found}, accepted {accepted}")]
    Value {
        /// What stands there.
        found: String,
        /// What may stand there.
        accepted: String,
    },
    /// A value that must be unique stands twice.
    #[error("found {found}, which stands at {first} already")]
    Doubled {
        /// What stands there.
        found: String,
        /// Path of its first place.
        first: String,
    },
    /// A route, or one of its methods, that no request can reach.
    #[error("{found} is never reached, {by} takes it first")]
    Unreachable {
        /// What is not reached.
        found: String,
        /// Path of the earlier route.
        by: String,
    },
}

/// All faults of one file, at least one; shown one a line.
#[derive(Clone, Debug, PartialEq, Eq, Error, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Faults(pub Vec<Fault>);

/// Why a file is refused.
#[derive(Debug, Error)]
pub enum FileError {
    /// The file could not be read.
    #[error("{}: {source}", .path.display())]
    Unreadable {
        /// The file.
        path: PathBuf,
        /// What the system said.
        source: io::Error,
    },
    /// The file was read and is not accepted.
    #[error("{0}")]
    Invalid(#[from] Faults),
}

impl Fault {
    /// Makes a fault of `kind` at `path`.
    pub fn new(path: impl Into<String>, kind: FaultKind) -> Self {
        Self { path: path.into(), kind }
    }

    /// Makes the fault of a file that the parser refuses.
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

/// Reads the whole file at `path`.
pub(crate) fn read(path: &Path) -> Result<Vec<u8>, FileError> {
    std::fs::read(path).map_err(|source| FileError::Unreadable { path: path.to_owned(), source })
}

/// Makes a `T` of `text` if `check` finds no fault in it.
pub(crate) fn parse<T: DeserializeOwned>(
    text: &[u8],
    check: fn(&Value) -> Vec<Fault>,
) -> Result<T, FileError> {
    let refuse = |error: serde_json::Error| Faults(vec![Fault::syntax(&error)]);
    let file = serde_json::from_slice(text).map_err(refuse)?;
    let faults = check(&file);
    if !faults.is_empty() {
        return Err(Faults(faults).into());
    }
    // Read from the text, not from `file`: a field that stands twice shows only there.
    serde_json::from_slice(text).map_err(|error| refuse(error).into())
}
