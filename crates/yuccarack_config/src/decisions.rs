//! Which of the decisions under load are in use.

wire_data! {
    /// One switch for each decision; all are on by default.
    ///
    /// For experts, and to measure what each is worth: without one, a daemon does what is simplest.
    #[derive(Copy)]
    #[serde(default)]
    pub struct Decisions {
        /// Reads that a caller sends behind a running one start before their turn.
        pub early_reads: bool,
        /// A large body is sent to a gate only once that has a slot for it.
        pub offered_bodies: bool,
        /// A caller that comes back after a refusal counts from its first try.
        pub patience: bool,
        /// Fewer requests are let in whose runs fail for want of another service.
        pub futile_runs: bool,
        /// A gate asks a working target that hasn't told its pace for a while.
        pub pace_looks: bool,
        /// What can be on time is told by the time that most work keeps, not by its mean.
        pub likely_times: bool,
        /// Short work goes before long work.
        pub short_first: bool,
        /// A slow target's gate sends on what could go elsewhere.
        pub slow_passed_over: bool,
        /// Gates of the own failure domain go first.
        pub home_first: bool,
        /// What a cold target may get in a second is spread over it.
        pub cold_spread: bool,
        /// A cold target gets the most urgent requests first, and short ones no earlier than others.
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
