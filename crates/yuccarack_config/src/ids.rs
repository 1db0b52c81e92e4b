//! Identifiers that the parts of the system share.

/// Name of an instance, unique in the fleet; a target and its daemon share it.
pub type InstanceId = String;

/// Name of a service, as callers write it in the `Host` header.
pub type ServiceName = String;

/// Name of a failure domain; instances of one domain may fail together.
pub type DomainName = String;

/// Name of a region, a group of failure domains that are close to each other.
pub type RegionName = String;

/// Name of a caller for fairness accounting.
pub type CallerId = String;

/// Key that a caller assigns to a request that must not run more than once.
pub type IdempotencyKey = String;

/// Id of one attempt to run a request; unique per attempt.
pub type AttemptId = u128;

/// Id of a caller's request, the same in all its attempts.
pub type RequestId = u128;

/// Number of a commit in the table service; increases with each commit.
pub type Revision = u64;

/// Number of the current run of an instance's daemon; increases with each start.
pub type Incarnation = u64;

/// Hash by which a request is recognised when its caller sends it again.
pub type Fingerprint = u64;
