//! Log lines of the daemon's own process.

log_lines! {
    /// An update for a peer could not be encoded.
    UpdateNotEncoded = "news_not_written", "update for a peer could not be encoded", Warning, None;
    {
        /// Error of the encoder.
        cause: String,
    }

    /// The metrics could not be encoded.
    MetricsNotEncoded = "metrics_not_told", "metrics could not be encoded", Warning, None;
    {
        /// Error of the encoder.
        cause: String,
    }

    /// The daemon serves requests; whoever started it learns its ports from this line.
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
        /// Address for readiness probes.
        readiness_address: String,
        /// Address for metrics.
        metrics_address: String,
    }

    /// The daemon was told to stop.
    Stopping = "stopping", "stopping", Info, None;
    {
        /// Requests running on the target.
        running: usize,
    }

    /// All tasks have ended.
    Stopped = "stopped", "stopped", Info, None;
    {}

    /// The time to stop has expired.
    StoppedForcibly = "stopped_hard", "stop timeout expired, remaining requests cut off", Warning,
        None;
    {
        /// Whether calls of callers were cut off.
        calls: bool,
        /// Whether requests of other daemons were cut off.
        gate: bool,
        /// Whether another task had not ended.
        rest: bool,
    }

    /// The settings file was reloaded.
    SettingsReloaded = "settings_read", "settings reloaded", Info, None;
    {
        /// What changed.
        result: String,
    }

    /// The settings file could not be reloaded; the previous settings stay in force.
    SettingsNotReloaded = "settings_kept",
        "settings could not be reloaded, previous settings kept", Warning, None;
    {
        /// Error of reading or parsing the file.
        cause: String,
    }

    /// Lines of one kind were dropped since its last one.
    LinesDropped = "lines_left_out", "lines left out", Info, None;
    {
        /// The kind.
        of: &'static str,
        /// Number of dropped lines.
        count: u64,
    }
}
