//! Messages between entries, keepers and the root.

use yuccarack_config::{ids::InstanceId, organisations::OrganisationId, shared_data};

shared_data! {
    /// Report of a daemon to its keeper, or of a keeper to the root.
    pub struct QuotaReport {
        /// Whether the report is for the root.
        pub is_for_root: bool,
        /// Instance that reports.
        pub reporter: InstanceId,
        /// Session of the keeper whose lease the reporter holds; 0 without one.
        pub session: u64,
        /// Number of the last lease that the reporter received in the session; 0 without one.
        pub lease: u64,
        /// Organisations of which the reporter may still use more than that lease grants.
        #[serde(default, skip_serializing_if = "Vec::is_empty")]
        pub exceeded: Vec<OrganisationId>,
        /// Daemons that the reporter represents.
        pub daemons: u32,
        /// Time since the reporter's last report, in ms.
        pub interval_ms: u32,
        /// Organisations that had requests since the last report.
        pub uses: Vec<QuotaUse>,
    }

    /// Use of a quota since the last report.
    ///
    /// Field names are short, since a report may have hundreds of organisations.
    pub struct QuotaUse {
        /// The organisation.
        #[serde(rename = "i")]
        pub id: OrganisationId,
        /// Requests that arrived.
        #[serde(rename = "n")]
        pub arrived: u32,
        /// Requests that were admitted and not refunded.
        #[serde(rename = "a")]
        pub admitted: u32,
        /// Whether the reporter ran out of tokens.
        #[serde(rename = "d", default, skip_serializing_if = "is_false")]
        pub is_dry: bool,
    }

    /// Response to a report.
    pub struct QuotaLease {
        /// Session of the keeper, which changes with each of its starts.
        pub session: u64,
        /// Number of the lease within the session.
        pub lease: u64,
        /// Time for which it is valid after the report was sent; 0 if nothing is leased because the
        /// reporter holds a lease of another session.
        pub lasts_ms: u32,
        /// Whether the grants are changes of the lease that the report confirmed; otherwise all others
        /// are base grants.
        #[serde(default, skip_serializing_if = "is_false")]
        pub is_change: bool,
        /// Grants that differ from the base grant, or have changed.
        pub grants: Vec<QuotaGrant>,
        /// Organisations without spare capacity.
        #[serde(default, skip_serializing_if = "Vec::is_empty")]
        pub without_spare: Vec<OrganisationId>,
    }

    /// Part of an organisation's quota.
    pub struct QuotaGrant {
        /// The organisation.
        #[serde(rename = "i")]
        pub id: OrganisationId,
        /// Parts in a billion of its rate and burst; the base grant without it.
        #[serde(rename = "g", default, skip_serializing_if = "Option::is_none")]
        pub per_billion: Option<u32>,
    }
}

fn is_false(flag: &bool) -> bool {
    !flag
}
