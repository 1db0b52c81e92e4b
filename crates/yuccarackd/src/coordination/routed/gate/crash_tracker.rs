//! Deaths of targets, told to all gates of the service.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use http::{HeaderValue, Request, header};
use parking_lot::Mutex;
use tokio::{
    net::TcpStream,
    time::{Instant, sleep, timeout},
};
use tokio_util::task::TaskTracker;
use yuccarack_config::{ids::Fingerprint, routed_settings::RoutedSettings};
use yuccarack_policy::crash_counts::CrashCounts;

use crate::{
    coordination::routed::{
        events::EventLog,
        log_lines::{CrashReportNotSent, TargetDied},
    },
    protocol::{body, peer_news::CRASHED},
    state::{
        counters::Counters,
        routed::{live_settings::LiveSettings, members::Members, target::TargetView},
    },
    transport::upstream::{Freshness, Upstream},
};

/// Waits before each look at a target whose connection broke; a dying process closes its port last.
const CHECK_DELAYS: [Duration; 3] =
    [Duration::from_millis(2), Duration::from_millis(20), Duration::from_millis(80)];

/// Longest look; the target is on the same machine.
const CHECK_TIMEOUT: Duration = Duration::from_millis(50);

/// Time in which requests of one death are gathered, so that others are told once.
const BATCH_DELAY: Duration = Duration::from_millis(120);

/// Longest wait for another gate to take the word.
const REPORT_TIMEOUT: Duration = Duration::from_millis(500);

/// What [`CrashTracker`] works with.
pub struct CrashTrackerParts {
    /// The settings.
    pub settings: LiveSettings,
    /// All members.
    pub members: Members,
    /// Connections to other gates.
    pub upstream: Upstream,
    /// Counters.
    pub counters: Counters,
    /// Log lines.
    pub events: EventLog,
    /// Parent of what is spawned.
    pub background: TaskTracker,
}

/// Deaths of targets, as one gate knows them; clones share it.
#[derive(Clone)]
pub struct CrashTracker {
    inner: Arc<Inner>,
}

struct Inner {
    parts: CrashTrackerParts,
    counts: Mutex<CrashCounts>,
    /// Requests of a death that others are still to be told of.
    unreported: Mutex<Vec<Fingerprint>>,
}

impl CrashTracker {
    /// Starts with none.
    pub fn new(parts: CrashTrackerParts) -> Self {
        let inner = Inner { parts, counts: Mutex::default(), unreported: Mutex::default() };
        Self { inner: Arc::new(inner) }
    }

    /// Whether the request isn't handed over any more.
    pub fn is_barred(&self, fingerprint: Fingerprint) -> bool {
        self.inner.counts.lock().is_barred(Instant::now().into(), fingerprint)
    }

    /// Notes that the request was answered.
    pub fn record_response(&self, fingerprint: Fingerprint) {
        self.inner.counts.lock().answered(fingerprint);
    }

    /// Takes the word of another gate.
    pub fn receive_report(&self, report: &HeaderValue) {
        let fingerprints = report.to_str().unwrap_or("").split(',');
        let fingerprints =
            fingerprints.filter_map(|text| Fingerprint::from_str_radix(text, 16).ok());
        let mut counts = self.inner.counts.lock();
        fingerprints.for_each(|fingerprint| counts.died(Instant::now().into(), fingerprint));
    }

    /// Looks whether `target` died with the request on it, and tells the other gates if it did.
    pub fn check_target(&self, target: Arc<TargetView>, fingerprint: Fingerprint) {
        let this = self.clone();
        self.inner.parts.background.spawn(async move {
            if has_crashed(target.address).await {
                this.record_crash(&target, fingerprint).await;
            }
        });
    }

    async fn record_crash(&self, target: &TargetView, fingerprint: Fingerprint) {
        let parts = &self.inner.parts;
        parts.counters.add("gate.target_died");
        parts.events.write(|| TargetDied {
            target: target.target.clone(),
            life: target.life,
            fingerprint: format!("{fingerprint:016x}"),
        });
        self.inner.counts.lock().died(Instant::now().into(), fingerprint);
        let is_first = {
            let mut unreported = self.inner.unreported.lock();
            unreported.push(fingerprint);
            unreported.len() == 1
        };
        if is_first {
            sleep(BATCH_DELAY).await;
            self.report_to_gates(&target.service).await;
        }
    }

    async fn report_to_gates(&self, service: &str) {
        let parts = &self.inner.parts;
        let fingerprints = std::mem::take(&mut *self.inner.unreported.lock());
        let texts: Vec<String> =
            fingerprints.iter().map(|fingerprint| format!("{fingerprint:x}")).collect();
        let Ok(report) = HeaderValue::from_str(&texts.join(",")) else { return };
        let settings: Arc<RoutedSettings> = parts.settings.current();
        for member in parts.members.of_service(service) {
            if member.instance == settings.instance {
                continue;
            }
            let acknowledged =
                timeout(REPORT_TIMEOUT, self.report_to_gate(member.gate_address, &report));
            if acknowledged.await != Ok(true) {
                parts.counters.add("crashes.untold");
                parts.events.write(|| CrashReportNotSent { gate: member.instance.clone() });
            }
        }
    }

    async fn report_to_gate(&self, address: SocketAddr, report: &HeaderValue) -> bool {
        let mut request = Request::new(body::empty());
        let map = request.headers_mut();
        map.insert(CRASHED, report.clone());
        map.insert(header::HOST, HeaderValue::from_static("peer"));
        let sent = self.inner.parts.upstream.send(address, request, Freshness::Kept);
        sent.await.is_ok_and(|response| response.status().is_success())
    }
}

/// A port that refuses connections belongs to no process any more.
async fn has_crashed(address: SocketAddr) -> bool {
    for delay in CHECK_DELAYS {
        sleep(delay).await;
        let connected = timeout(CHECK_TIMEOUT, TcpStream::connect(address)).await;
        let is_refused =
            |error: &std::io::Error| error.kind() == std::io::ErrorKind::ConnectionRefused;
        if matches!(connected, Ok(Err(error)) if is_refused(&error)) {
            return true;
        }
    }
    false
}
