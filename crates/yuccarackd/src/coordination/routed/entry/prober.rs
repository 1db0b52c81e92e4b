//! Probes unreachable gates until they accept connections again.

use std::{collections::HashMap, net::SocketAddr, sync::Arc, time::Duration};

use tokio::time::{Instant, sleep};
use tokio_util::sync::CancellationToken;

use super::{RoutedEntry, service::RoutedService};
use crate::{coordination::jitter::jittered, transport::look::is_listening};

/// Mean time between two rounds of probes, which is jittered.
const ROUND_INTERVAL: Duration = Duration::from_millis(400);

/// Timeout of a connection attempt. A round trip takes 3 ms at most.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(200);

/// Longest pause between two probes of one gate. Its row may remain long after its instance is
/// removed, so each failed probe doubles the pause.
const PAUSE_MAX: Duration = Duration::from_secs(5);

/// When a gate is probed next, and the pause after that.
#[derive(Clone, Copy)]
struct Pause {
    until: Instant,
    next: Duration,
}

/// Probes unreachable gates in rounds until `stop`.
///
/// The row of an instance may remain after the instance is removed for good. If requests were used
/// as probes, each would wait for the full connection timeout, and most calls between services have
/// little more time than that.
pub async fn run(entry: &RoutedEntry, stop: CancellationToken) {
    let mut pauses = HashMap::new();
    loop {
        tokio::select! {
            () = stop.cancelled() => return,
            () = sleep(jittered(ROUND_INTERVAL)) => {}
        }
        let services: Vec<Arc<RoutedService>> = entry.services.lock().values().cloned().collect();
        let mut unreachable = Vec::new();
        for service in &services {
            let gates = service.unreachable_gates();
            unreachable.extend(gates.iter().map(|(_, address)| *address));
            for (key, address) in gates {
                if is_due(&mut pauses, address) && is_listening(address, CONNECT_TIMEOUT).await {
                    entry.parts.counters.add("entry.gates_back");
                    service.mark_reachable(key);
                }
            }
        }
        pauses.retain(|address, _| unreachable.contains(address));
    }
}

fn is_due(pauses: &mut HashMap<SocketAddr, Pause>, address: SocketAddr) -> bool {
    let now = Instant::now();
    let pause = pauses.entry(address).or_insert(Pause { until: now, next: ROUND_INTERVAL });
    if pause.until > now {
        return false;
    }
    *pause = Pause { until: now + pause.next, next: (pause.next * 2).min(PAUSE_MAX) };
    true
}
