//! Sends an open-loop load, prints counts and latencies, and fails on any incorrect response.

use std::{net::SocketAddr, process::ExitCode};

use bpaf::Bpaf;
use http::Method;
use yuccarack_standins::load::{LoadPlan, RequestSpec, run_load};

/// Exit code when a response was wrong, truncated, missing or untyped.
const EXIT_UNSOUND: u8 = 1;

/// Open-loop load with unique bodies; checks each response against the expected echo
#[derive(Bpaf, Clone, Debug)]
#[bpaf(options)]
struct Options {
    /// Address to send to; several take turns
    #[bpaf(long, argument("ADDRESS"), some("at least one --to"))]
    to: Vec<SocketAddr>,
    /// Requests per second
    #[bpaf(long, argument("N"), fallback(100))]
    rate: u32,
    /// Time to send for, in ms
    #[bpaf(long, argument("MS"), fallback(5_000))]
    duration_ms: u64,
    /// Seed of the bodies, send times and choice of kind
    #[bpaf(long, argument("N"), fallback(1))]
    seed: u64,
    /// Deadline that each request carries, in ms
    #[bpaf(long, argument("MS"), optional)]
    deadline_ms: Option<u64>,
    /// Caller name that each request carries
    #[bpaf(long, argument("NAME"), optional)]
    caller: Option<String>,
    /// Length of each body of a request that is not a GET, in bytes
    #[bpaf(long, argument("N"), fallback(256))]
    body_bytes: usize,
    /// Length of the filler that each GET asks for, in bytes
    #[bpaf(long, argument("N"), fallback(0))]
    answer_bytes: usize,
    /// Prints the report as JSON
    json: bool,
    /// Kinds of requests: SERVICE:METHOD:/path, with `:keyed` for an idempotency key each
    #[bpaf(positional("KIND"), some("at least one kind of request"))]
    kinds: Vec<String>,
}

impl Options {
    fn plan(&self) -> Option<LoadPlan> {
        let kinds =
            self.kinds.iter().map(|kind| self.parse_kind(kind)).collect::<Option<Vec<_>>>()?;
        Some(LoadPlan {
            addresses: self.to.clone(),
            per_second: self.rate,
            duration_ms: self.duration_ms,
            seed: self.seed,
            kinds,
            deadline_ms: self.deadline_ms,
            caller: self.caller.clone(),
        })
    }

    fn parse_kind(&self, kind: &str) -> Option<RequestSpec> {
        let mut parts = kind.split(':');
        let service = parts.next()?.to_owned();
        let method: Method = parts.next()?.parse().ok()?;
        let path = parts.next()?.to_owned();
        let has_idempotency_key = parts.next() == Some("keyed");
        let is_get = method == Method::GET;
        Some(RequestSpec {
            service,
            method,
            path,
            body_bytes: if is_get { 0 } else { self.body_bytes },
            response_bytes: if is_get { self.answer_bytes } else { 0 },
            has_idempotency_key,
        })
    }
}

#[tokio::main]
async fn main() -> ExitCode {
    let options = options().run();
    let Some(plan) = options.plan() else {
        eprintln!("a kind of request is SERVICE:METHOD:/path or SERVICE:METHOD:/path:keyed");
        return ExitCode::from(EXIT_UNSOUND + 1);
    };
    let report = run_load(&plan).await;
    match serde_json::to_string(&report) {
        Ok(json) if options.json => println!("{json}"),
        _ => println!("{report}"),
    }
    if report.has_only_correct_or_refused() {
        return ExitCode::SUCCESS;
    }
    ExitCode::from(EXIT_UNSOUND)
}
