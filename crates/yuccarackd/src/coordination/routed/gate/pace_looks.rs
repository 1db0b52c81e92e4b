//! Looks at the pace of a target that works and hasn't told it for a while.

use std::{sync::Arc, time::Instant};

use http::{HeaderValue, Request, header};
use tokio::time::{sleep_until, timeout_at};
use yuccarack_platform_wire::{headers, load};
use yuccarack_policy::pace_looks::{LOOK_TIMEOUT, Looked, PaceLooks};

use super::{Gate, OpenTarget};
use crate::{
    protocol::body::{self, BodyStart},
    transport::upstream::Freshness,
};

/// Most bytes of a look's answer that are read.
const ANSWER_MAX_BYTES: usize = 4 * 1024;

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
        let started = open.slots.started();
        let now = Instant::now();
        let due_at =
            open.slots.read(|queue| looks.due_at(queue.running(), queue.mean_work(), queue.pace()));
        match due_at {
            None => started.await,
            Some(at) if at > now => sleep_until(at.into()).await,
            Some(_) => {
                let looked = look(gate, open).await;
                looks.looked(Instant::now(), looked);
            }
        }
    }
}

/// Asks the target once; what it tells is noted with its pace.
async fn look(gate: &Gate, open: &OpenTarget) -> Looked {
    let Some(path) = gate.load_path(open) else { return Looked::InVain };
    gate.parts.counters.add("gate.pace_looks");
    let give_up_at = Instant::now() + LOOK_TIMEOUT;
    match timeout_at(give_up_at.into(), ask(gate, open, &path)).await {
        Ok(Some(percent)) => {
            let slowness = f64::from(percent) / 100.0;
            open.slots.change(|queue, now| queue.pace_reported(now, slowness));
            Looked::Told
        }
        Ok(None) | Err(_) => {
            gate.parts.counters.add("gate.pace_looks_in_vain");
            Looked::InVain
        }
    }
}

async fn ask(gate: &Gate, open: &OpenTarget, path: &str) -> Option<u16> {
    let address = open.view.address;
    let host = HeaderValue::from_str(&address.to_string()).ok()?;
    let request = Request::get(path).header(header::HOST, host).body(body::empty()).ok()?;
    let answer = gate.look_upstream.send(address, request, Freshness::Kept).await.ok()?;
    // After a restart another target may stand at the address.
    let is_own = answer.headers().get(headers::TARGET)? == open.view.target.as_str();
    let percent = load::decode(answer.headers()).and_then(|load| load.pace_percent);
    // Read to its end, so that the connection can be used again.
    BodyStart::read(answer.into_body(), ANSWER_MAX_BYTES).await.ok()?;
    percent.filter(|_| is_own)
}
