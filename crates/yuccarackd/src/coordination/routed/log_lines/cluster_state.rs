//! Lines of what is known of routes, members and the store.

use yuccarack_config::{ids::Revision, routing::RoutingVersion};

use crate::{coordination::routed::events::EventKind, protocol::peer_news::DatedEvacuation};

log_lines! {
    /// A failure domain is evacuated, or no longer.
    EvacuationChanged = "evacuation_changed", "evacuation changed", Info, None;
    {
        /// The failure domain.
        failure_domain: String,
        /// Whether its targets get nothing.
        is_evacuated: bool,
        /// Revision that says so.
        revision: Revision,
        /// The store, or the daemon that sent the notice.
        from: String,
    }

    /// Another instance serves something else.
    MemberChanged = "member_changed", "member changed", Info, Some(EventKind::MemberChanged);
    {
        /// The instance.
        member: String,
        /// What it serves.
        service: Option<String>,
        /// Revision of its row.
        revision: Revision,
        /// Who told.
        from: &'static str,
    }

    /// An instance that was out of reach for long is taken for gone.
    MemberRowDeleted = "member_ended", "member's row ended", Warning, None;
    {
        /// The instance.
        member: String,
        /// Revision of its end.
        revision: Revision,
    }

    /// Its row could not be taken away; the next look tries again.
    MemberRowNotDeleted = "member_not_ended", "member's row not ended", Warning, None;
    {
        /// The instance.
        member: String,
        /// Why.
        cause: String,
    }

    /// A row of the members' table could not be used.
    MemberRowRejected = "member_kept_out", "member's row kept out", Warning, None;
    {
        /// The row's key.
        member: String,
        /// Its revision.
        revision: Revision,
        /// Why.
        cause: String,
    }

    /// A routing table came in force.
    RoutingInForce = "routing_in_force", "routing table in force", Info, None;
    {
        /// Its version.
        version: RoutingVersion,
        /// Revision of its row, where the store told.
        revision: Option<Revision>,
        /// Who told: the store, or the address of a peer.
        from: String,
        /// Time since a newer version than the one in force was first known of, in ms.
        behind_ms: u64,
    }

    /// Changes of the routing table that a peer sent can't be used; the whole table is fetched.
    RoutingChangesRejected = "routing_changes_rejected", "changes of the routing table rejected", Warning, Some(EventKind::RoutingNotFetched);
    {
        /// Address of the peer.
        peer: String,
        /// Version that they lead to.
        version: RoutingVersion,
        /// Why.
        cause: String,
    }

    /// A field of the operators' document is missing or not understood, and was read in a safe sense.
    RoutingFieldSubstituted = "routing_substituted", "field of the operators' document substituted", Warning, None;
    {
        /// Version of the document.
        version: RoutingVersion,
        /// The field.
        field: &'static str,
        /// What was found first.
        found: String,
        /// What was taken instead.
        taken: &'static str,
        /// Entries with it.
        count: usize,
    }

    /// The operators' document could not be used.
    RoutingDocumentRejected = "routing_kept_out", "operators' document kept out", Warning, None;
    {
        /// Revision of its row.
        revision: Revision,
        /// Version of what stays in force.
        in_force: RoutingVersion,
        /// Why.
        cause: String,
    }

    /// A newer routing table could not be fetched from the store or a peer.
    RoutingNotFetched = "routing_not_read", "routing table not fetched", Warning, Some(EventKind::RoutingNotFetched);
    {
        /// The store, or the address of a peer.
        from: String,
        /// Version in force.
        in_force: RoutingVersion,
        /// Newest version that is known of.
        newest: RoutingVersion,
        /// Time since a newer version than the one in force was first known of, in ms.
        behind_ms: u64,
        /// Time that the transfer took until it failed, in ms.
        took_ms: u64,
        /// Why.
        cause: String,
    }

    /// The store stopped answering.
    StoreUnavailable = "store_lost", "store lost", Warning, None;
    {
        /// The table that was asked for.
        table: &'static str,
        /// Why.
        cause: String,
    }

    /// The store answers again.
    StoreAvailable = "store_regained", "store regained", Info, None;
    {
        /// The table that was asked for.
        table: &'static str,
    }

    /// Another daemon of the failure domain tells of changes from now on.
    RelayConnected = "relay_heard", "told by a relay", Info, Some(EventKind::Relay);
    {
        /// Its instance.
        relay: String,
    }

    /// It no longer does, or can't be asked.
    RelayLost = "relay_lost", "relay lost", Info, Some(EventKind::Relay);
    {
        /// Its instance.
        relay: String,
        /// Why.
        cause: String,
    }

    /// The row of this instance stands.
    RowWritten = "row_written", "member row written", Info, None;
    {
        /// What it says that is served.
        service: Option<String>,
        /// Its revision.
        revision: Revision,
    }

    /// It could not be written yet.
    RowNotWritten = "row_not_written", "member row not written", Warning, None;
    {
        /// Revision that was to be replaced.
        seen_at: Revision,
        /// Why.
        cause: String,
    }

    /// The row of this instance is gone.
    RowDeleted = "row_taken_away", "member row taken away", Info, None;
    {
        /// Revision of its end.
        revision: Revision,
    }

    /// It stands though its instance goes.
    RowNotDeleted = "row_not_taken_away", "member row not taken away", Warning, None;
    {
        /// Why.
        cause: String,
    }
}

impl EvacuationChanged {
    /// The line of `dated`, which came `from` the store or another daemon.
    pub fn new(dated: DatedEvacuation, from: String) -> Self {
        let DatedEvacuation { failure_domain, revision, is_evacuated } = dated;
        Self { failure_domain, is_evacuated, revision, from }
    }
}
