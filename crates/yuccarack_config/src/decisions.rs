//! Feature switches for the scheduling and overload decisions of a daemon.

wire_data! {
    /// One switch per decision; all are on by default.
    ///
    /// Meant for experts and for measuring the benefit of each decision. With a switch off, a
    /// daemon falls back to the simplest behaviour.
    #[derive(Copy)]
    #[serde(default)]
    pub struct Decisions {
        /// Pipelined reads behind a running request of the same caller start before it completes.
        pub early_reads: bool,
        /// A large request body is sent to a gate only once the gate has a free slot for it.
        pub offered_bodies: bool,
        /// The wait of a caller that retries after a refusal counts from its first attempt.
        pub patience: bool,
        /// Fewer requests are admitted of a kind whose runs fail because another service is short.
        pub futile_runs: bool,
        /// A gate runs a health check on a busy target that hasn't reported its slowdown for a while.
        pub pace_looks: bool,
        /// Whether a request can be on time is judged by the service time that most requests stay
        /// within, not by the mean.
        pub likely_times: bool,
        /// Requests with a short expected service time are dispatched before long ones.
        pub short_first: bool,
        /// The gate of a slow target rejects requests that another gate can serve.
        pub slow_passed_over: bool,
        /// Gates of the same failure domain are preferred.
        pub home_first: bool,
        /// The requests that a cold target may get in a second are spread evenly over that second.
        pub cold_spread: bool,
        /// A cold target gets the most urgent requests first; their expected service time doesn't
        /// count.
        pub cold_by_rank: bool,
    }
}

impl Default for Decisions {
    fn default() -> Self {
        Self {
            early_reads: true,
            offered_bodies: true,
            patience: true,
            futile_runs: true,
            pace_looks: true,
            likely_times: true,
            short_first: true,
            slow_passed_over: true,
            home_first: true,
            cold_spread: true,
            cold_by_rank: true,
        }
    }
}
