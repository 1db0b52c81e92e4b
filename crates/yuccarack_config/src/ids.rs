//! Identifiers that the parts of the system share.

/// Name of an instance, unique in the fleet; a target and its daemon share it.
pub type InstanceId = String;

/// Name of a service, as callers write it in the `Host` header.
pub type ServiceName = String;

/// Name of a failure domain; instances of one domain may fail together.
pub type DomainName = String;

/// Name of a region, a group of failure domains that are close to each other.
pub type RegionName = String;

/// Name of an organisation, unique in a routing table.
pub type OrganisationName = String;

/// Name of a caller for fairness accounting.
pub type CallerId = String;

/// Key that a caller assigns to a request that must not run more than once.
pub type IdempotencyKey = String;

/// Id of one attempt to run a request; unique per attempt.
pub type AttemptId = u128;

/// Id of a caller's request, the same in all its attempts.
pub type RequestId = u128;

/// Number of a commit in the store, the table service of the platform; increases with each commit.
pub type Revision = u64;

/// Number that orders the member rows of one instance across restarts of its daemon.
///
/// It is the start time of the daemon in ms since 1970, or a higher number if a known row of the
/// instance would otherwise outrank the daemon's own one. The start time of a target's process is
/// a [`TargetIncarnation`](crate::heartbeat::TargetIncarnation) instead.
pub type Incarnation = u64;

/// Hash by which a request is recognised when its caller sends it again.
pub type Fingerprint = u64;
