//! Log lines of quotas.

use yuccarack_config::ids::InstanceId;

use crate::coordination::routed::events::EventKind;

log_lines! {
    /// An organisation begins to be refused over quota at this entry, or has not been refused for 5 s.
    QuotaStateChanged = "quota_changed", "organisation begins or ceases to be refused", Info,
        Some(EventKind::Quota);
    {
        /// Name of the organisation.
        organisation: String,
        /// Whether its requests are refused.
        is_refused: bool,
        /// Requests admitted here since the previous line.
        admitted: u64,
        /// Requests refused here since the previous line.
        refused: u64,
        /// Requests in 1,000 seconds that this daemon may admit.
        grant_per_1000_s: u64,
        /// Whether that is leased; otherwise it is the fixed share.
        is_leased: bool,
    }

    /// Another daemon grants quotas, or none does.
    QuotaKeeperChanged = "quota_keeper_changed", "keeper of quotas changed", Info,
        Some(EventKind::Quota);
    {
        /// Whether the root is meant, to which this daemon reports as the keeper of its domain.
        is_root: bool,
        /// The daemon that grants quotas; unset without one.
        keeper: Option<InstanceId>,
        /// The daemon that did before.
        previous: Option<InstanceId>,
        /// Why that no longer does.
        cause: Option<String>,
    }
}
