//! Quotas of organisations over all daemons: token buckets at the entries, whose rates are leased from
//! keepers.
//!
//! Answers load in which an organisation's callers are unevenly distributed over the daemons. With a
//! fixed share of the rate at each daemon, most of its requests would be refused below the quota.
//! Counting first and throttling later would exceed the quota by the surge's rate times the age of the
//! counts.
//!
//! A grant is a fraction of the organisation's rate, so a lower limit takes effect at once wherever
//! it is known. All grants and fixed shares add up to at most 1, but for the time in which a keeper
//! changes:
//!
//! - A daemon contributes its fixed share to one keeper at a time. Only a daemon that has confirmed a
//!   lease is counted, for [`COUNTED_FOR`] after its report.
//! - A keeper reserves what it granted until the lease expires or its holder confirms a smaller one.
//! - A daemon that loses its keeper reports to the next and uses its last grants until that one grants
//!   a lease, at most for [`KEPT_FOR`], and then its fixed share.

mod bucket;
mod keeper;
mod lease_holder;
mod ledger;
mod limit;
mod messages;

use std::{cmp::Reverse, time::Duration};

use xxhash_rust::xxh3::xxh3_64_with_seed;
use yuccarack_config::ids::InstanceId;

pub use self::{
    keeper::QuotaKeeper,
    ledger::{QuotaLedger, QuotaRefusal},
    limit::{QuotaLimit, QuotaTolerance},
    messages::{QuotaGrant, QuotaLease, QuotaReport, QuotaUse},
};

/// Time between two reports.
pub const REPORT_INTERVAL: Duration = Duration::from_millis(500);

/// Least time between two reports, the second of which is sent early.
pub const EARLY_REPORT_INTERVAL: Duration = Duration::from_millis(100);

/// Time for which a lease is valid after its holder sent the report.
pub const LEASE: Duration = Duration::from_secs(2);

/// Time after its last report for which a keeper distributes the share of a daemon. One lost report
/// is tolerated.
pub const COUNTED_FOR: Duration = Duration::from_millis(1_000);

/// Time after the end of a lease for which its grants are used without a keeper. What the next keeper
/// grants meanwhile is within the tolerance of a quota.
pub const KEPT_FOR: Duration = Duration::from_millis(1_500);

/// Part of its fixed share that a daemon is granted without demand.
const BASE_SHARE: f64 = 0.1;

/// Returns `instances` in the order in which they are chosen as keeper of `scope`, by rendezvous
/// hashing: a daemon that joins or leaves changes no other's place.
pub fn keeper_order(scope: &str, mut instances: Vec<InstanceId>) -> Vec<InstanceId> {
    let seed = xxh3_64_with_seed(scope.as_bytes(), 0);
    instances
        .sort_by_cached_key(|it| Reverse((xxh3_64_with_seed(it.as_bytes(), seed), it.clone())));
    instances
}
