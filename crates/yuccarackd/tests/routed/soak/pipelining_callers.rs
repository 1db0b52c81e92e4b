//! Callers that pipeline requests: they send several without waiting for the responses.

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use rand::{Rng, rngs::StdRng};
use tokio::time::{sleep, timeout_at};
use tokio_util::sync::CancellationToken;
use yuccarack_platform_standin::{
    caller::{Call, CallFailure, CallResponse},
    pipelined_caller::PipelinedCaller,
};

use super::{
    callers::{CallRecord, RequestKind},
    organisations::{identify, random_key},
};
use crate::support::{ORDERS, READS};

/// Number of requests that are sent at once.
const BATCH: std::ops::RangeInclusive<usize> = 1..=6;

/// Pause between two batches.
const PAUSE: Duration = Duration::from_millis(60);

/// Share of the requests that are orders.
const ORDERS_SHARE: f64 = 0.15;

/// Share of the batches whose caller disconnects early, and the range of its wait, in ms.
const ABANDONED_SHARE: f64 = 0.15;
const ABANDON_AFTER_MS: std::ops::Range<u64> = 1..60;

/// Time after the latest deadline of a batch for which its caller still waits for responses.
const RESPONSE_GRACE: Duration = Duration::from_secs(1);

/// A request of a batch, with its kind and the key by which its caller authenticates.
type BatchedCall = (RequestKind, Option<&'static str>, Call);

/// Result of a request as its caller sees it.
enum RequestResult {
    Response(CallResponse),
    Lost,
    NotSent,
    /// The response to an earlier request closed the connection.
    AfterClose,
}

/// A caller that pipelines its requests.
pub struct PipeliningCaller {
    /// Name of the caller, the prefix of its request ids.
    pub name: String,
    /// Instance whose daemon it calls.
    pub instance: usize,
    /// Address of that daemon's listener for calls.
    pub address: SocketAddr,
    /// Whether it needs the key of an organisation.
    pub has_key: bool,
}

impl PipeliningCaller {
    /// Sends batches until `stop` is cancelled, over the same connection as long as it is open.
    pub async fn call_until(self, stop: CancellationToken, mut random: StdRng) -> Vec<CallRecord> {
        let (mut records, mut connection) = (Vec::new(), None);
        while !stop.is_cancelled() {
            let calls = self.random_batch(records.len(), &mut random);
            let abandon_after =
                random.random_bool(ABANDONED_SHARE).then(|| random.random_range(ABANDON_AFTER_MS));
            connection = self.send(connection, &calls, abandon_after, &mut records).await;
            sleep(PAUSE).await;
        }
        records
    }

    fn random_batch(&self, first: usize, random: &mut StdRng) -> Vec<BatchedCall> {
        let count = random.random_range(BATCH);
        let call = |at: usize, random: &mut StdRng| {
            let id = format!("{}-{}", self.name, first + at);
            let (kind, call) = match random.random_bool(ORDERS_SHARE) {
                true => (RequestKind::Order, Call::order(ORDERS, "/o/1", &id)),
                false => (RequestKind::Read, Call::read(READS, "/r/1", &id)),
            };
            let key = self.has_key.then(|| random_key(random));
            (kind, key, identify(call, key))
        };
        (0..count).map(|at| call(at, random)).collect()
    }

    /// Sends one batch and records the outcomes; returns the connection if it is still open.
    async fn send(
        &self,
        connection: Option<PipelinedCaller>,
        calls: &[BatchedCall],
        abandon_after: Option<u64>,
        records: &mut Vec<CallRecord>,
    ) -> Option<PipelinedCaller> {
        let sent_at = Instant::now();
        let mut record = |call: &BatchedCall, outcome: RequestResult| {
            let is_after_close = matches!(outcome, RequestResult::AfterClose);
            let result = match outcome {
                RequestResult::Response(response) => Ok(response),
                RequestResult::Lost => Err(CallFailure::NoResponse),
                RequestResult::NotSent | RequestResult::AfterClose => Err(CallFailure::NotSent),
            };
            records.push(CallRecord {
                id: call.2.id.clone(),
                instance: self.instance,
                kind: call.0,
                key: call.1,
                connected_at: sent_at,
                sent_at,
                ended_at: Instant::now(),
                is_abandoned: abandon_after.is_some() && result.is_err(),
                is_after_close,
                result,
                was_ready: false,
            });
        };
        let connection = match connection {
            Some(connection) => Some(connection),
            None => PipelinedCaller::open(self.address).await.ok(),
        };
        let requests: Vec<Call> = calls.iter().map(|(.., call)| call.clone()).collect();
        let Some(mut connection) = connection else {
            calls.iter().for_each(|call| record(call, RequestResult::NotSent));
            return None;
        };
        if connection.send(&requests).await.is_err() {
            calls.iter().for_each(|call| record(call, RequestResult::NotSent));
            return None;
        }
        let left_ms = calls.iter().map(|(.., call)| call.deadline_ms).max().unwrap_or(0);
        let wait = match abandon_after {
            Some(ms) => Duration::from_millis(ms),
            None => Duration::from_millis(left_ms) + RESPONSE_GRACE,
        };
        let response_deadline = (sent_at + wait).into();
        let mut unanswered = calls.iter();
        while let Some(call) = unanswered.next() {
            let response =
                timeout_at(response_deadline, connection.next_response()).await.ok().flatten();
            let Some(response) = response else {
                record(call, RequestResult::Lost);
                unanswered.for_each(|call| record(call, RequestResult::Lost));
                return None;
            };
            let closes = response.header("connection").eq_ignore_ascii_case("close");
            record(call, RequestResult::Response(response));
            if closes {
                unanswered.for_each(|call| record(call, RequestResult::AfterClose));
                return None;
            }
        }
        Some(connection)
    }
}
