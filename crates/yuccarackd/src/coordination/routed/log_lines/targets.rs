//! Lines of targets: what they say, and whether they can be reached.

use yuccarack_config::{heartbeat::TargetIncarnation, ids::Revision};

use crate::coordination::routed::events::EventKind;

log_lines! {
    /// What a target says of itself changed.
    HeartbeatReceived = "heartbeat", "heartbeat", Info, Some(EventKind::Heartbeat);
    {
        /// The target.
        target: String,
        /// Its process.
        life: TargetIncarnation,
        /// Number of the heartbeat.
        sequence: u64,
        /// The service.
        service: String,
        /// Whether it takes work.
        phase: String,
        /// What was made of it.
        heard: String,
    }

    /// A heartbeat could not be used.
    HeartbeatRejected = "heartbeat_kept_out", "heartbeat kept out", Warning,
        Some(EventKind::Heartbeat);
    {
        /// Why.
        cause: String,
    }

    /// A target said that it goes.
    TargetLeaving = "target_leaves", "target leaves", Info, Some(EventKind::Heartbeat);
    {
        /// The target.
        target: String,
        /// Its process.
        life: Option<TargetIncarnation>,
        /// Whether it is the one that was here.
        is_present: bool,
    }

    /// A target is here and takes work.
    TargetAdmitted = "target_taken_in", "target taken in", Info, None;
    {
        /// The target.
        target: String,
        /// The service.
        service: String,
        /// Its process.
        life: TargetIncarnation,
        /// Requests that it runs at once.
        slots: u16,
    }

    /// The target can't be reached.
    TargetUnreachable = "target_lost", "target lost", Warning, None;
    {
        /// The target.
        target: String,
        /// Where it should be.
        address: String,
    }

    /// The target can be reached again.
    TargetReachable = "target_regained", "target regained", Info, None;
    {
        /// The target.
        target: String,
    }

    /// The target died while it ran a request.
    TargetDied = "target_died", "target died with a request on it", Warning, None;
    {
        /// The target.
        target: String,
        /// Its process.
        life: TargetIncarnation,
        /// What the request is recognised by.
        fingerprint: String,
    }

    /// A gate could not be told of a death.
    CrashReportNotSent = "gate_not_told", "gate not told of a death", Info, None;
    {
        /// The gate's instance.
        gate: String,
    }

    /// The word of a target that leaves is kept in the store.
    LeavingStored = "leaving_kept", "leaving target kept", Info, None;
    {
        /// The target; unset where it stays after all.
        target: Option<String>,
        /// Its process.
        life: Option<TargetIncarnation>,
        /// Revision of the row.
        revision: Revision,
    }

    /// It is not kept yet.
    LeavingNotStored = "leaving_not_kept", "leaving target not kept", Warning, None;
    {
        /// Why.
        cause: String,
    }

    /// It is not known what an earlier process of this daemon was told.
    LeavingNotRead = "leaving_not_looked_up", "leaving target not looked up", Warning, None;
    {
        /// Why.
        cause: String,
    }

    /// The clock of this machine can't be used.
    ClockUnusable = "clock_unusable", "clock can't be used", Warning, None;
    {
        /// Why.
        cause: String,
    }
}
