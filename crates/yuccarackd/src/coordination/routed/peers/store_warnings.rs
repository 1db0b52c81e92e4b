//! Warns other relays that the store may have lost their polls.

use std::net::SocketAddr;

use futures_util::future::join_all;
use http::{HeaderValue, Request, Response, header};
use rand::seq::IndexedRandom;
use tokio::time::timeout;

use super::{Peers, RESPONSE_HEAD_TIMEOUT};
use crate::{
    protocol::{
        body::{self, CallBody},
        peer_update::STORE_WARNING,
    },
    transport::upstream::Freshness,
};

/// Most relays that a daemon warns; two in each of 24 failure domains poll the store.
const WARNED_MAX: usize = 64;

impl Peers {
    /// Sends each warning that this daemon raises to relays that poll the store.
    pub async fn send_store_warnings(self) {
        let mut raised = self.inner.parts.sync_state.store_warnings().subscribe_raised();
        while raised.changed().await.is_ok() {
            let relays = self.without_self(self.store_relays());
            let chosen: Vec<SocketAddr> =
                relays.choose_multiple(&mut rand::rng(), WARNED_MAX).copied().collect();
            join_all(chosen.into_iter().map(|address| self.warn(address))).await;
        }
    }

    async fn warn(&self, address: SocketAddr) {
        let mut request = Request::new(body::empty());
        let headers = request.headers_mut();
        headers.insert(STORE_WARNING, HeaderValue::from_static("1"));
        headers.insert(header::HOST, HeaderValue::from_static("peer"));
        let sent = self.inner.parts.upstream.send(address, request, Freshness::Pooled);
        // A relay that isn't reached notices the next late response itself.
        let _ = timeout(RESPONSE_HEAD_TIMEOUT, sent).await;
    }

    /// Receives the warning of another daemon.
    pub fn receive_store_warning(&self) -> Response<CallBody> {
        let parts = &self.inner.parts;
        parts.counters.add("peers.store_warnings");
        parts.sync_state.store_warnings().receive();
        Response::new(body::empty())
    }
}
