//! Log lines of targets: their heartbeats, and whether they are reachable.

use yuccarack_config::{heartbeat::TargetIncarnation, ids::Revision};

use crate::coordination::routed::events::EventKind;

log_lines! {
    /// A heartbeat reports a change.
    HeartbeatReceived = "heartbeat", "heartbeat", Info, Some(EventKind::Heartbeat);
    {
        /// Name of the target.
        target: String,
        /// Incarnation of the target.
        life: TargetIncarnation,
        /// Sequence number of the heartbeat.
        sequence: u64,
        /// Service that the target serves.
        service: String,
        /// Phase of the target: whether it takes requests.
        phase: String,
        /// How the heartbeat was handled.
        heard: String,
    }

    /// A heartbeat or leave could not be parsed.
    HeartbeatRejected = "heartbeat_kept_out", "unreadable heartbeat rejected", Warning,
        Some(EventKind::Heartbeat);
    {
        /// Error of the parser.
        cause: String,
    }

    /// A target announced that it leaves.
    TargetLeaving = "target_leaves", "target announced that it leaves", Info,
        Some(EventKind::Heartbeat);
    {
        /// Name of the target.
        target: String,
        /// Incarnation that leaves; unset if the target named none.
        life: Option<TargetIncarnation>,
        /// Whether it is the target of this instance.
        is_present: bool,
    }

    /// A response of the target announces that it leaves.
    TargetAnnouncedLeaving = "target_announced_leaving",
        "target announced in a response that it leaves", Info, None;
    {
        /// Name of the target; unset if it has sent its leave notice.
        target: Option<String>,
        /// Incarnation that leaves.
        life: TargetIncarnation,
    }

    /// The rate limit that the target announces with its responses changed.
    TargetLimitChanged = "target_limit_changed", "rate limit of the target changed", Info,
        Some(EventKind::TargetLimit);
    {
        /// Name of the target.
        target: String,
        /// Incarnation of the target.
        life: TargetIncarnation,
        /// Requests per 1,000 seconds; unset if the limit ended.
        limit_per_1000_s: Option<u32>,
        /// The same before the change.
        previous_per_1000_s: Option<u32>,
        /// What reported it: `response`, `health_check`, or `entry` for an entry that passed on a
        /// response to an earlier process of this daemon.
        from: &'static str,
    }

    /// A rate limit that the target announced could not be parsed; the one before stays.
    TargetLimitRejected = "target_limit_rejected", "unreadable rate limit of the target rejected",
        Warning, Some(EventKind::TargetLimit);
    {
        /// Name of the target.
        target: String,
        /// Limit that stays in force, in requests per 1,000 seconds.
        limit_per_1000_s: Option<u32>,
    }

    /// Bytes of the target are no response, or a response without an end.
    TargetResponseRejected = "target_response_rejected", "response of the target rejected", Warning,
        Some(EventKind::GateRefused);
    {
        /// Name of the target.
        target: String,
        /// What was requested: `request` or `health_check`.
        of: &'static str,
        /// Why the response is rejected.
        cause: String,
    }

    /// A target is ready and receives requests.
    TargetAdmitted = "target_taken_in", "target admitted", Info, None;
    {
        /// Name of the target.
        target: String,
        /// Service that it serves.
        service: String,
        /// Incarnation of the target.
        life: TargetIncarnation,
        /// Requests that it runs at once.
        slots: u16,
    }

    /// The target is unreachable.
    TargetUnreachable = "target_lost", "target unreachable", Warning, None;
    {
        /// Name of the target.
        target: String,
        /// Address at which the target is expected.
        address: String,
    }

    /// The target is reachable again.
    TargetReachable = "target_regained", "target reachable again", Info, None;
    {
        /// Name of the target.
        target: String,
    }

    /// The target died while it ran a request.
    TargetDied = "target_died", "target died while it ran a request", Warning, None;
    {
        /// Name of the target.
        target: String,
        /// Incarnation that died.
        life: TargetIncarnation,
        /// Fingerprint by which the request is recognised.
        fingerprint: String,
    }

    /// A crash report could not be sent to another gate.
    CrashReportNotSent = "gate_not_told", "crash report could not be sent to a gate", Info, None;
    {
        /// Instance of the gate.
        gate: String,
    }

    /// The departure of the target was stored, or deleted if the target stays after all.
    DepartureStored = "leaving_kept", "departure of the target stored", Info, None;
    {
        /// Name of the target; unset if it stays after all.
        target: Option<String>,
        /// Incarnation that leaves.
        life: Option<TargetIncarnation>,
        /// Revision of the departure's row.
        revision: Revision,
    }

    /// The departure of the target could not be written to the store yet.
    DepartureNotStored = "leaving_not_kept", "departure of the target could not be stored", Warning,
        None;
    {
        /// Error of the write.
        cause: String,
    }

    /// It is unknown whether the target announced to an earlier process of this daemon that it
    /// leaves.
    DepartureNotRead = "leaving_not_looked_up", "departure of the target could not be read",
        Warning, None;
    {
        /// Error of the read.
        cause: String,
    }

    /// The clock of this machine can't be used.
    ClockUnusable = "clock_unusable", "system clock unusable", Warning, None;
    {
        /// Why the clock can't be used.
        cause: String,
    }
}
