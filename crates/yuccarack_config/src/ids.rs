//! Names and numbers by which the parts of the system know each other.

/// Name of one instance, unique in the fleet; a target and its daemon share it.
pub type InstanceId = String;

/// Name of a service, as callers spell it in the `Host` header.
pub type ServiceName = String;

/// Name of a failure domain.
pub type DomainName = String;

/// Name of a region: failure domains that are near each other.
pub type RegionName = String;

/// Name by which a caller is counted for fairness.
pub type CallerId = String;

/// Key that a caller gives a request which must not repeat.
pub type IdempotencyKey = String;

/// Name of one attempt to run a request; no two attempts share one.
pub type AttemptId = u128;

/// Name of a caller's request, carried along all its attempts.
pub type RequestId = u128;

/// Number of a commit in the table service; rises with each commit.
pub type Revision = u64;

/// Number of an instance's life; rises with each start of its daemon.
pub type Incarnation = u64;

/// Hash over what makes a request recognisable when its caller sends it again.
pub type Fingerprint = u64;
