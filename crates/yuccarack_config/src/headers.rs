//! Names of the HTTP headers that callers, daemons and targets exchange.

/// Service that the call is for; defaults to the host name.
pub const SERVICE: &str = "yuccarack-service";
/// Remaining time of the caller, in ms; defaults to the deadline of the route.
pub const DEADLINE_MS: &str = "yuccarack-deadline-ms";
/// Name of the caller for fairness accounting; defaults to the address of the peer.
pub const CALLER: &str = "yuccarack-caller";
/// Idempotency key of a request that must not run more than once.
pub const IDEMPOTENCY_KEY: &str = "idempotency-key";
/// Id of the request, the same in all its attempts, 32 hex digits.
pub const REQUEST_ID: &str = "yuccarack-request-id";
/// Id of one attempt, 32 hex digits; sent between daemons and to the target.
pub const ATTEMPT_ID: &str = "yuccarack-attempt-id";
/// Set by an entry whose rules don't let the request run more than once, for gates that still have
/// older rules.
pub const ONCE: &str = "yuccarack-once";
/// Number of services in the chain of nested calls so far; 1 for the first call.
pub const DEPTH: &str = "yuccarack-depth";
/// What is known of a request without a response from its target: `not_run`, `unknown` or, when
/// only the response is lost, `run`.
pub const OUTCOME: &str = "yuccarack-outcome";
/// Reason why a request was refused or lost, in snake case.
pub const REASON: &str = "yuccarack-reason";
/// Instance whose gate or target sent the response.
pub const INSTANCE: &str = "yuccarack-instance";
/// Load of the responding gate as a [`crate::load::LoadReport`].
pub const LOAD: &str = "yuccarack-load";
/// Revision of the service's rules that are in force at the responding gate.
pub const RULES_REVISION: &str = "yuccarack-rules-revision";
/// Set by a target that sheds a request before running any part of it.
pub const NOT_RUN: &str = "yuccarack-not-run";
/// Set on a response that replays the recorded outcome of an earlier run.
pub const REPLAYED: &str = "yuccarack-replayed";
