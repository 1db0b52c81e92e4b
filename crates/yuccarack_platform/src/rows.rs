//! Keys and values of the rows that the system stores in the table.

use std::net::SocketAddr;

use yuccarack_config::{
    ids::{
        AttemptId, DomainName, Fingerprint, IdempotencyKey, Incarnation, InstanceId, ServiceName,
    },
    rules::ServiceRules,
    wire_data, wire_kind,
};

wire_kind! {
    /// Lifecycle state of a target.
    pub enum TargetState {
        /// The target runs, but does not accept requests yet.
        Starting,
        /// The target accepts requests.
        Ready,
        /// The target completes its running requests and accepts no more.
        Draining,
        /// The target has exited.
        Gone,
    }

    /// Lifecycle state of a claim.
    pub enum ClaimState {
        /// The request may be running; no other attempt may run it.
        Open,
        /// The request has run, and its outcome is recorded.
        Done,
    }

    /// State of a request that was in flight when its target crashed.
    pub enum SuspectState {
        /// The request was in flight at one crash.
        Suspected,
        /// The request is running alone on one target.
        OnTrial,
        /// The request was in flight at two crashes and isn't run any more.
        Quarantined,
    }
}

wire_data! {
    /// Row of a service's rules, at [`rules_key`]; its revision is the version of the rules.
    ///
    /// A removed service keeps its row: a deleted row has no revision, so older rules that a
    /// lagging peer still has would take precedence over the removal.
    #[serde(rename_all = "snake_case")]
    pub enum RulesRow {
        /// The rules in force.
        InForce(ServiceRules),
        /// The service was removed.
        Removed,
    }

    /// Row of a target, at [`member_key`].
    pub struct MemberRow {
        /// Instance of the target and its daemon.
        pub instance: InstanceId,
        /// Incarnation of the daemon that wrote the row.
        pub incarnation: Incarnation,
        /// Sequence number of the row within the incarnation; increases with each change.
        pub sequence: u64,
        /// Service of the target.
        pub service: ServiceName,
        /// Failure domain of the instance.
        pub failure_domain: DomainName,
        /// Advertised address of the instance's gate.
        pub gate_address: SocketAddr,
        /// Advertised address for control messages.
        pub control_address: SocketAddr,
        /// Address for announcements and operators.
        pub admin_address: SocketAddr,
        /// Lifecycle state of the target.
        pub state: TargetState,
        /// Number of requests that the target runs concurrently.
        pub slots: u16,
    }

    /// Row of a claim, at [`claim_key`].
    pub struct ClaimRow {
        /// Service that the request is for.
        pub service: ServiceName,
        /// Idempotency key from the caller.
        pub key: IdempotencyKey,
        /// The only attempt that may run the request.
        #[serde(with = "crate::hex_id")]
        pub attempt: AttemptId,
        /// Instance whose gate holds the claim.
        pub instance: InstanceId,
        /// Hash of method, path and body length, to distinguish a resent request from another one.
        pub fingerprint: Fingerprint,
        /// Lifecycle state of the claim.
        pub state: ClaimState,
        /// Wall-clock time of the claim, in ms since 1970; informational only.
        pub claimed_at_unix_ms: u64,
        /// The response, once it is recorded.
        pub outcome: Option<RecordedOutcome>,
    }

    /// Row by which a gate fences off its own lost transactions, at [`claim_fence_key`].
    pub struct ClaimFenceRow {
        /// Wall-clock time of the write, in ms since 1970; informational only.
        pub raised_at_unix_ms: u64,
    }

    /// The recorded response to a request that has run.
    pub struct RecordedOutcome {
        /// HTTP status of the response.
        pub status: u16,
        /// Content type of the response.
        pub content_type: Option<String>,
        /// Body of the response; unset if it was too large to record.
        pub body: Option<Vec<u8>>,
    }

    /// Row of a request that may crash targets, at [`suspect_key`].
    pub struct SuspectRow {
        /// Service that the request is for.
        pub service: ServiceName,
        /// Hash by which the request is recognised.
        pub fingerprint: Fingerprint,
        /// State of the suspect.
        pub state: SuspectState,
        /// Instances whose targets crashed while the request was in flight.
        pub died: Vec<InstanceId>,
        /// Attempt of the current or latest trial, by which its gate recognises its own write.
        #[serde(default, with = "crate::hex_id::option")]
        pub trial: Option<AttemptId>,
        /// Wall-clock time at which the row expires, in ms since 1970.
        pub expires_at_unix_ms: u64,
    }

    /// Row of an accepted rules file, at [`applied_key`].
    pub struct AppliedRow {
        /// Id of the apply, which stays the same when it is retried.
        pub apply_id: String,
        /// Operator who applied the file.
        pub operator: String,
        /// Services that the file defines.
        pub services: Vec<ServiceName>,
        /// Services that the file removes.
        pub removed: Vec<ServiceName>,
        /// Name of the object that contains the complete file.
        pub object: String,
        /// Wall-clock time of the apply, in ms since 1970.
        pub applied_at_unix_ms: u64,
    }
}

/// Returns the key prefix of all members of a service.
pub fn member_prefix(service: &str) -> String {
    format!("members/{service}/")
}

/// Returns the key of a member row.
pub fn member_key(service: &str, instance: &str) -> String {
    format!("members/{service}/{instance}")
}

/// Key prefix of all rules rows.
pub const RULES_PREFIX: &str = "rules/";

/// Returns the key of the rules of a service; the revision of the row is the version of the rules.
pub fn rules_key(service: &str) -> String {
    format!("{RULES_PREFIX}{service}")
}

/// Returns the key prefix of all claims of a service.
pub fn claim_prefix(service: &str) -> String {
    format!("claims/{service}/")
}

/// Returns the key of a claim row.
pub fn claim_key(service: &str, key: &str) -> String {
    format!("claims/{service}/{key}")
}

/// Returns the key of the row that fences off the lost transactions of an instance's gate.
pub fn claim_fence_key(instance: &str) -> String {
    format!("claim_fences/{instance}")
}

/// Returns the key prefix of all suspects of a service.
pub fn suspect_prefix(service: &str) -> String {
    format!("suspects/{service}/")
}

/// Returns the key of a suspect row.
pub fn suspect_key(service: &str, fingerprint: Fingerprint) -> String {
    format!("suspects/{service}/{fingerprint:016x}")
}

/// Returns the key of an accepted rules file.
pub fn applied_key(apply_id: &str) -> String {
    format!("applied/{apply_id}")
}

/// Time span that one history prefix covers, in ms: one day.
pub const HISTORY_SPAN_MS: u64 = 86_400_000;

/// Returns the key prefix of the files that were accepted on the day of `unix_ms`.
///
/// Accepted files are never deleted, so the history is split by day: a query for the latest files
/// reads a few days instead of all years. The day is that of the operator's clock; no decision
/// depends on it.
pub fn history_prefix(unix_ms: u64) -> String {
    format!("history/{}/", unix_ms / HISTORY_SPAN_MS)
}

/// Returns the history key of an accepted file; the value is the same as at [`applied_key`].
pub fn history_key(unix_ms: u64, apply_id: &str) -> String {
    format!("{}{apply_id}", history_prefix(unix_ms))
}
