//! Callers that send requests behind each other without waiting for answers.

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use rand::{Rng, rngs::StdRng};
use tokio::time::{sleep, timeout_at};
use tokio_util::sync::CancellationToken;
use yuccarack_platform_standin::{
    caller::{Call, Told, Unanswered},
    pipelined_caller::PipelinedCaller,
};

use super::callers::{Ended, Kind};
use crate::support::{ORDERS, READS};

/// Requests that are sent at once.
const BATCH: std::ops::RangeInclusive<usize> = 1..=6;

/// Pause between two batches.
const PAUSE: Duration = Duration::from_millis(60);

/// Part of the requests that are orders.
const ORDERS_SHARE: f64 = 0.15;

/// Part of the batches whose caller leaves, and for how long it waits, in ms.
const LEAVERS: f64 = 0.15;
const PATIENCE_MS: std::ops::Range<u64> = 1..60;

/// Time after its deadline for which a caller still waits for the last word.
const LATE_MAX: Duration = Duration::from_secs(1);

/// What a caller knows of a request at its end.
enum Known {
    Told(Told),
    Lost,
    NotSent,
    /// An answer before it closed the connection.
    BehindClose,
}

/// A caller that sends ahead.
pub struct AheadCaller {
    /// Its name.
    pub name: String,
    /// Whose daemon it calls.
    pub instance: usize,
    /// Where that is.
    pub address: SocketAddr,
}

impl AheadCaller {
    /// Sends batches until `stop`, each over the connection of the one before while that stands.
    pub async fn call_until(self, stop: CancellationToken, mut random: StdRng) -> Vec<Ended> {
        let (mut all, mut kept) = (Vec::new(), None);
        while !stop.is_cancelled() {
            let calls = self.batch(all.len(), &mut random);
            let patience = random.random_bool(LEAVERS).then(|| random.random_range(PATIENCE_MS));
            kept = self.ask(kept, &calls, patience, &mut all).await;
            sleep(PAUSE).await;
        }
        all
    }

    fn batch(&self, first: usize, random: &mut StdRng) -> Vec<(Kind, Call)> {
        let count = random.random_range(BATCH);
        let call = |at: usize, random: &mut StdRng| {
            let id = format!("{}-{}", self.name, first + at);
            match random.random_bool(ORDERS_SHARE) {
                true => (Kind::Order, Call::order(ORDERS, "/o/1", &id)),
                false => (Kind::Read, Call::read(READS, "/r/1", &id)),
            }
        };
        (0..count).map(|at| call(at, random)).collect()
    }

    /// Sends one batch and notes what became of it; returns the connection if it stands.
    async fn ask(
        &self,
        kept: Option<PipelinedCaller>,
        calls: &[(Kind, Call)],
        patience: Option<u64>,
        all: &mut Vec<Ended>,
    ) -> Option<PipelinedCaller> {
        let sent_at = Instant::now();
        let mut note = |call: &(Kind, Call), known: Known| {
            let is_behind_close = matches!(known, Known::BehindClose);
            let result = match known {
                Known::Told(told) => Ok(told),
                Known::Lost => Err(Unanswered::Lost),
                Known::NotSent | Known::BehindClose => Err(Unanswered::NotSent),
            };
            all.push(Ended {
                id: call.1.id.clone(),
                instance: self.instance,
                kind: call.0,
                sent_at,
                ended_at: Instant::now(),
                has_left: patience.is_some() && result.is_err(),
                is_behind_close,
                result,
                was_ready: false,
            });
        };
        let connection = match kept {
            Some(connection) => Some(connection),
            None => PipelinedCaller::open(self.address).await.ok(),
        };
        let bare: Vec<Call> = calls.iter().map(|(_, call)| call.clone()).collect();
        let Some(mut connection) = connection else {
            calls.iter().for_each(|call| note(call, Known::NotSent));
            return None;
        };
        if connection.send(&bare).await.is_err() {
            calls.iter().for_each(|call| note(call, Known::NotSent));
            return None;
        }
        let left_ms = calls.iter().map(|(_, call)| call.left_ms).max().unwrap_or(0);
        let wait = match patience {
            Some(ms) => Duration::from_millis(ms),
            None => Duration::from_millis(left_ms) + LATE_MAX,
        };
        let give_up_at = (sent_at + wait).into();
        let mut unanswered = calls.iter();
        while let Some(call) = unanswered.next() {
            let answer = timeout_at(give_up_at, connection.next_answer()).await.ok().flatten();
            let Some(told) = answer else {
                note(call, Known::Lost);
                unanswered.for_each(|call| note(call, Known::Lost));
                return None;
            };
            let closes = told.header("connection").eq_ignore_ascii_case("close");
            note(call, Known::Told(told));
            if closes {
                unanswered.for_each(|call| note(call, Known::BehindClose));
                return None;
            }
        }
        Some(connection)
    }
}
