//! Announces a target to its daemon, periodically and at each change of state.

use std::{
    net::SocketAddr,
    sync::{Arc, atomic::Ordering},
    time::Duration,
};

use tokio::time::sleep;
use tokio_util::sync::CancellationToken;

use super::{Announcement, Inner, LOAD_PATH};
use crate::client::HttpClient;

/// Timeout for the daemon's response.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(2);

/// Announces the target until `end` is cancelled.
pub(super) async fn announce(inner: Arc<Inner>, address: SocketAddr, end: CancellationToken) {
    let Some(admin) = inner.options.admin else { return };
    let client = HttpClient::new(RESPONSE_TIMEOUT);
    let interval = Duration::from_millis(inner.options.announce_interval_ms);
    loop {
        if !inner.faults.lock().stop_announcing && !inner.is_down.load(Ordering::Relaxed) {
            let announcement = announcement(&inner, address);
            tokio::select! {
                () = end.cancelled() => return,
                // A failure is ignored: an unreachable daemon gets the next announcement.
                _ = client.post_json(admin, "/announce", &announcement) => {}
            }
        }
        tokio::select! {
            () = end.cancelled() => return,
            () = inner.state_changed.notified() => {}
            () = sleep(interval) => {}
        }
    }
}

fn announcement(inner: &Inner, address: SocketAddr) -> Announcement {
    let state = if inner.draining.load(Ordering::Relaxed) { "draining" } else { "ready" };
    Announcement {
        service: inner.options.service.clone(),
        boot_id: inner.boot_id.load(Ordering::Relaxed),
        call_address: address,
        load_path: Some(LOAD_PATH.to_owned()),
        slots: inner.options.slots,
        connections_max: inner.options.connections_max,
        state: state.to_owned(),
    }
}
