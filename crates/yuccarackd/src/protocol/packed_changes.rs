//! Compressed form in which changes of the routing table travel between daemons.

use yuccarack_config::{routing::RoutingVersion, routing_changes::RoutingChanges, shared_data};

use super::packed_json::{PackError, pack, unpack};

shared_data! {
    /// [`RoutingChanges`] in compressed form.
    pub struct PackedChanges {
        /// Version of the table that the changes apply to; 0 for a table without routes.
        pub base: RoutingVersion,
        /// Version of the table that results.
        pub version: RoutingVersion,
        /// Packed JSON of the changes.
        pub body: String,
    }
}

impl PackedChanges {
    /// Packs `changes`.
    ///
    /// # Errors
    ///
    /// Returns [`PackError::Json`] or [`PackError::Deflate`].
    pub fn new(changes: &RoutingChanges) -> Result<Self, PackError> {
        Ok(Self { base: changes.base, version: changes.version, body: pack(changes)? })
    }

    /// Unpacks the changes.
    ///
    /// # Errors
    ///
    /// Returns a [`PackError`] if the packed form is invalid.
    pub fn unpack(&self) -> Result<RoutingChanges, PackError> {
        unpack(&self.body)
    }
}
