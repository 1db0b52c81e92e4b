//! Routing files: routing tables that operators write in this project's own format.

mod check;

use std::path::Path;

use crate::{
    errors::{self, FileError},
    routing::{CallerLimits, Route, RoutedService, RoutingTable, RoutingVersion},
    schema::Kind,
};

/// Schema of a routing file.
pub const SCHEMA: Kind = check::ROUTING;

wire_data! {
    /// A routing table in the form of a file.
    pub struct RoutingFile {
        /// Version of the file format, always 1.
        pub format: u32,
        /// Version of the table; a daemon accepts only higher ones.
        pub version: RoutingVersion,
        /// Routes, in any order.
        pub routes: Vec<Route>,
        /// Services that the routes lead to.
        pub services: Vec<RoutedService>,
        /// Size limits for the requests of callers.
        #[serde(default)]
        pub caller_limits: CallerLimits,
    }
}

impl RoutingFile {
    /// Loads and validates the file at `path`.
    ///
    /// # Errors
    ///
    /// [`FileError::Unreadable`], or [`FileError::Invalid`] with all errors of the file.
    pub fn load(path: &Path) -> Result<Self, FileError> {
        Self::parse(&errors::read(path)?)
    }

    /// Parses and validates `text`.
    ///
    /// # Errors
    ///
    /// [`FileError::Invalid`] with all errors of the text.
    pub fn parse(text: &[u8]) -> Result<Self, FileError> {
        errors::parse(text, check::find_errors)
    }

    /// Converts the file into a routing table.
    pub fn into_table(self) -> RoutingTable {
        let Self { version, routes, services, caller_limits, .. } = self;
        RoutingTable { version, routes, services, caller_limits, organisations: None }
    }
}
