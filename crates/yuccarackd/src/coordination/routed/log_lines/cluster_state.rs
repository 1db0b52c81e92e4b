//! Log lines of changes to the routes, members and store as this daemon knows them.

use yuccarack_config::{ids::Revision, routing::RoutingVersion};

use crate::{coordination::routed::events::EventKind, protocol::peer_update::VersionedEvacuation};

log_lines! {
    /// The evacuation of a failure domain started or ended.
    EvacuationChanged = "evacuation_changed", "evacuation of a failure domain changed", Info, None;
    {
        /// The failure domain.
        failure_domain: String,
        /// Whether its targets receive no requests.
        is_evacuated: bool,
        /// Revision that evacuated it or ended that.
        revision: Revision,
        /// The store, or the address of the daemon that sent the update.
        from: String,
    }

    /// Another instance serves something else than before.
    MemberChanged = "member_changed", "service of a member changed", Info,
        Some(EventKind::MemberChanged);
    {
        /// The instance.
        member: String,
        /// Service that it serves; unset without a target.
        service: Option<String>,
        /// Revision of its row.
        revision: Revision,
        /// Kind of the source: the store or a peer.
        from: &'static str,
    }

    /// The row of an instance was deleted, as it was unreachable for too long or its address is in
    /// use by another one.
    MemberRowDeleted = "member_ended", "row of a lost member deleted", Warning, None;
    {
        /// The instance.
        member: String,
        /// Revision that deleted the row.
        revision: Revision,
    }

    /// The row of a lost instance, or of one whose address is in use by another, could not be
    /// deleted; retried later.
    MemberRowNotDeleted = "member_not_ended", "row of a lost member could not be deleted", Warning,
        None;
    {
        /// The instance.
        member: String,
        /// Error of the write.
        cause: String,
    }

    /// The first rows of instances that registered here were written together.
    RegistrationsWritten = "registrations_written", "first rows of other instances written", Info,
        None;
    {
        /// Number of instances.
        instances: usize,
        /// Revision of their rows.
        revision: Revision,
    }

    /// The first rows of instances that registered here may not be written; they write them
    /// themselves.
    RegistrationsNotWritten = "registrations_not_written",
        "first rows of other instances not written", Warning, None;
    {
        /// Number of instances.
        instances: usize,
        /// Error of the write.
        cause: String,
    }

    /// An update of another daemon could not be unpacked.
    PeerUpdateRejected = "update_rejected", "unreadable update of another daemon ignored", Warning,
        None;
    {
        /// Address of the daemon.
        peer: String,
        /// Error of the decoder.
        cause: String,
    }

    /// A row of the members table could not be parsed.
    MemberRowRejected = "member_kept_out", "unreadable member row ignored", Warning, None;
    {
        /// Key of the row.
        member: String,
        /// Revision of the row.
        revision: Revision,
        /// Error of the parser.
        cause: String,
    }

    /// A routing table came into force.
    RoutingInForce = "routing_in_force", "routing table in force", Info, None;
    {
        /// Version of the table.
        version: RoutingVersion,
        /// Revision of its row, if it came from the store.
        revision: Option<Revision>,
        /// The store, or the address of the peer that sent the table.
        from: String,
        /// Time since a newer version than the one in force became known, in ms.
        behind_ms: u64,
    }

    /// Changes of the routing table that a peer sent can't be applied; unless they start from
    /// another version, all routes are requested next.
    RoutingChangesRejected = "routing_changes_rejected",
        "routing table changes from a peer rejected", Warning, Some(EventKind::RoutingNotFetched);
    {
        /// Address of the peer.
        peer: String,
        /// Version to which the changes lead.
        version: RoutingVersion,
        /// Error of unpacking or applying them.
        cause: String,
    }

    /// A field of the routing table in the store is missing or not understood, and was replaced by
    /// a safe value.
    RoutingFieldSubstituted = "routing_substituted",
        "field of the routing table replaced by a safe value", Warning, None;
    {
        /// Version of the table.
        version: RoutingVersion,
        /// Name of the field.
        field: &'static str,
        /// The first value found that is not understood.
        found: String,
        /// Value used instead.
        taken: &'static str,
        /// Number of entries with such a value.
        count: usize,
    }

    /// The routing table in the store could not be parsed; the table in force stays.
    RoutingDocumentRejected = "routing_kept_out", "unreadable routing table ignored", Warning,
        None;
    {
        /// Revision of its row.
        revision: Revision,
        /// Version of the table in force.
        in_force: RoutingVersion,
        /// Error of the parser.
        cause: String,
    }

    /// A newer routing table could not be fetched from the store or a peer.
    RoutingNotFetched = "routing_not_read", "routing table could not be fetched", Warning,
        Some(EventKind::RoutingNotFetched);
    {
        /// The store, or the address of the peer.
        from: String,
        /// Version in force.
        in_force: RoutingVersion,
        /// Newest known version.
        newest: RoutingVersion,
        /// Time since a newer version than the one in force became known, in ms.
        behind_ms: u64,
        /// Duration of the transfer until it failed, in ms.
        took_ms: u64,
        /// Error of the transfer.
        cause: String,
    }

    /// The store stopped responding.
    StoreUnavailable = "store_lost", "store lost", Warning, None;
    {
        /// Table that was queried.
        table: &'static str,
        /// Error of the query.
        cause: String,
    }

    /// The store responds again.
    StoreAvailable = "store_regained", "store available again", Info, None;
    {
        /// Table that was queried.
        table: &'static str,
    }

    /// This daemon receives updates from another one of its failure domain.
    RelayConnected = "relay_heard", "receiving updates from a relay", Info, Some(EventKind::Relay);
    {
        /// Instance of the relay.
        relay: String,
    }

    /// The relay no longer sends updates, or can't be queried.
    RelayLost = "relay_lost", "relay lost", Info, Some(EventKind::Relay);
    {
        /// Instance of the relay.
        relay: String,
        /// Error that ended the stream.
        cause: String,
    }

    /// The row of this instance was written.
    RowWritten = "row_written", "own member row written", Info, None;
    {
        /// Service that the row names.
        service: Option<String>,
        /// Revision of the row.
        revision: Revision,
    }

    /// The row of this instance could not be written; retried.
    RowNotWritten = "row_not_written", "own member row could not be written", Warning, None;
    {
        /// Revision that was to be replaced.
        seen_at: Revision,
        /// Error of the write.
        cause: String,
    }

    /// The row of this instance was deleted.
    RowDeleted = "row_taken_away", "own member row deleted", Info, None;
    {
        /// Revision that deleted it.
        revision: Revision,
    }

    /// The row of this instance could not be deleted although the instance leaves.
    RowNotDeleted = "row_not_taken_away", "own member row could not be deleted", Warning, None;
    {
        /// Error of the write.
        cause: String,
    }
}

impl EvacuationChanged {
    /// Builds the line of `evacuation`, which came `from` the store or another daemon.
    pub fn new(evacuation: VersionedEvacuation, from: String) -> Self {
        let VersionedEvacuation { failure_domain, revision, is_evacuated } = evacuation;
        Self { failure_domain, is_evacuated, revision, from }
    }
}
