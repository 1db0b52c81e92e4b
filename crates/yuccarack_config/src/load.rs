//! Load report of a gate, as sent with responses and between daemons.

use std::str::FromStr;

use thiserror::Error;

wire_data! {
    /// Load of a gate; piggybacked on every response, so it costs no extra request.
    #[derive(Copy, Default)]
    pub struct LoadReport {
        /// Number of requests that run on the target.
        pub in_flight: u16,
        /// Number of requests in the gate's queue.
        pub queued: u16,
        /// Number of requests that the gate allows to run concurrently.
        pub limit: u16,
        /// Smoothed service time, in µs.
        pub service_us: u32,
    }
}

/// A load header does not consist of four numbers in range.
#[derive(Debug, Error, PartialEq, Eq)]
#[error("malformed load report: expected four numbers separated by commas")]
pub struct LoadReportError;

impl std::fmt::Display for LoadReport {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{},{},{},{}", self.in_flight, self.queued, self.limit, self.service_us)
    }
}

impl FromStr for LoadReport {
    type Err = LoadReportError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let mut parts = text.split(',');
        let mut next = || parts.next().ok_or(LoadReportError);
        let report = Self {
            in_flight: parse_number(next()?)?,
            queued: parse_number(next()?)?,
            limit: parse_number(next()?)?,
            service_us: parse_number(next()?)?,
        };
        match parts.next() {
            None => Ok(report),
            Some(_) => Err(LoadReportError),
        }
    }
}

fn parse_number<T: FromStr>(text: &str) -> Result<T, LoadReportError> {
    text.trim().parse().map_err(|_| LoadReportError)
}
