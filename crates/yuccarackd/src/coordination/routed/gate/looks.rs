//! Health checks of the own target: its pace, where no answer has reported it for a while, and whether it is cold.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use http::{HeaderValue, Request, header};
use tokio::time::{sleep_until, timeout_at};
use yuccarack_platform_wire::{headers, load};
use yuccarack_policy::{
    pace_looks::{LOOK_TIMEOUT, Looked, PaceLooks},
    work_queue::WorkQueue,
};

use super::{Gate, OpenTarget};
use crate::{
    protocol::body::{self, BodyStart},
    transport::upstream::Freshness,
};

/// Most bytes of a look's answer that are read.
const ANSWER_MAX_BYTES: usize = 4 * 1024;

/// What a target reports in answer to a look.
struct Report {
    /// How long work takes there, in percent of the usual time; unset where it doesn't say so.
    pace_percent: Option<u16>,
    /// Time for which it is still cold.
    cold_for: Duration,
}

/// Looks whenever one is due, until `open` ends.
pub async fn run(gate: Arc<Gate>, open: Arc<OpenTarget>) {
    tokio::select! {
        () = open.stop.cancelled() => {}
        () = look_on(&gate, &open) => {}
    }
    gate.look_upstream.close_idle();
}

async fn look_on(gate: &Gate, open: &OpenTarget) {
    let mut looks = PaceLooks::new();
    loop {
        let (started, wanted) = (open.slots.started(), open.slots.look_wanted());
        let now = Instant::now();
        let due_at = open.slots.read(|queue| due_at(gate, &looks, queue, now));
        match due_at {
            None => tokio::select! {
                () = started => {}
                () = wanted => {}
            },
            Some(at) if at > now => tokio::select! {
                () = sleep_until(at.into()) => {}
                () = wanted => {}
            },
            Some(_) => {
                let looked = look(gate, open).await;
                looks.looked(Instant::now(), looked);
            }
        }
    }
}

/// When the next look is due, for either reason.
fn due_at(gate: &Gate, looks: &PaceLooks, queue: &WorkQueue, now: Instant) -> Option<Instant> {
    let for_cold = queue.cold_rate().look_due_at(now);
    let is_on = gate.parts.decisions.pace_looks;
    let for_pace = || looks.due_at(queue.running(), queue.mean_work(), queue.pace());
    let for_pace = is_on.then(for_pace).flatten();
    for_cold.into_iter().chain(for_pace).min()
}

/// Asks the target once and notes its pace and whether it is cold.
async fn look(gate: &Gate, open: &OpenTarget) -> Looked {
    let asked_at = Instant::now();
    open.slots.change(|queue, now| queue.cold_rate_mut().looked(now));
    let Some(path) = gate.load_path(open) else { return Looked::InVain };
    gate.parts.counters.add("gate.pace_looks");
    let report = match timeout_at((asked_at + LOOK_TIMEOUT).into(), ask(gate, open, &path)).await {
        Ok(Some(report)) => report,
        Ok(None) | Err(_) => {
            gate.parts.counters.add("gate.pace_looks_in_vain");
            return Looked::InVain;
        }
    };
    open.slots.change(|queue, now| {
        match report.cold_for.is_zero() {
            true => queue.cold_rate_mut().set_warm(asked_at),
            false => queue.cold_rate_mut().set_cold_until(now + report.cold_for),
        }
        if let Some(percent) = report.pace_percent {
            queue.pace_reported(now, f64::from(percent) / 100.0);
        }
    });
    if report.pace_percent.is_some() { Looked::Told } else { Looked::InVain }
}

async fn ask(gate: &Gate, open: &OpenTarget, path: &str) -> Option<Report> {
    let address = open.view.address;
    let host = HeaderValue::from_str(&address.to_string()).ok()?;
    let request = Request::get(path).header(header::HOST, host).body(body::empty()).ok()?;
    let answer = gate.look_upstream.send(address, request, Freshness::Kept).await.ok()?;
    // After a restart another target may stand at the address.
    let is_own = answer.headers().get(headers::TARGET)? == open.view.target.as_str();
    let pace_percent = load::decode(answer.headers()).and_then(|load| load.pace_percent);
    let cold_for = load::decode_cold_for(answer.headers());
    // Read to its end, so that the connection can be used again.
    BodyStart::read(answer.into_body(), ANSWER_MAX_BYTES).await.ok()?;
    is_own.then_some(Report { pace_percent, cold_for })
}
