//! Lines of a daemon itself.

log_lines! {
    /// News for a peer could not be written.
    UpdateNotEncoded = "news_not_written", "news not written", Warning, None;
    {
        /// Why.
        cause: String,
    }

    /// Metrics could not be written.
    MetricsNotEncoded = "metrics_not_told", "metrics not told", Warning, None;
    {
        /// Why.
        cause: String,
    }

    /// The daemon serves; whoever started it learns its ports from this line.
    Serving = "serving", "serving", Info, None;
    {
        /// Service of the target on this instance.
        service: String,
        /// Failure domain of this instance.
        failure_domain: String,
        /// Address for callers.
        call_address: String,
        /// Address for other daemons.
        gate_address: String,
        /// Address for the target.
        liveness_address: String,
        /// Address for questions of readiness.
        readiness_address: String,
        /// Address for metrics.
        metrics_address: String,
    }

    /// The daemon was asked to stop.
    Stopping = "stopping", "stopping", Info, None;
    {
        /// Requests that run on the target.
        running: usize,
    }

    /// All has ended.
    Stopped = "stopped", "stopped", Info, None;
    {}

    /// The time to stop is over.
    StoppedForcibly = "stopped_hard", "stopped, and calls were cut off", Warning, None;
    {
        /// Whether calls of callers were cut off.
        calls: bool,
        /// Whether requests of other daemons were.
        gate: bool,
        /// Whether something else had not ended.
        rest: bool,
    }

    /// Settings were read anew.
    SettingsReloaded = "settings_read", "settings read anew", Info, None;
    {
        /// What changed.
        result: String,
    }

    /// Settings could not be read; the old ones hold.
    SettingsNotReloaded = "settings_kept", "settings kept as they were", Warning, None;
    {
        /// Why.
        cause: String,
    }

    /// Lines of a kind were left out since its last one.
    LinesDropped = "lines_left_out", "lines left out", Info, None;
    {
        /// The kind.
        of: &'static str,
        /// How many.
        count: u64,
    }
}
