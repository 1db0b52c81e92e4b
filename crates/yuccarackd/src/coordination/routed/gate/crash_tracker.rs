//! Counts crashes of targets per request fingerprint and reports them to all gates of the service.
//!
//! A request that crashed several targets is quarantined at every gate and not only at the one that
//! saw the crashes.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use futures_util::{StreamExt, stream};
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
    protocol::{body, peer_update::CRASH_SUSPECTS},
    state::{
        counters::Counters,
        routed::{live_settings::LiveSettings, members::Members, target::RoutedTargetView},
    },
    transport::upstream::{Freshness, Upstream},
};

/// Delays before each check of a target whose connection broke. A dying process closes its port
/// last, so the first check may still find it open.
const CHECK_DELAYS: [Duration; 3] =
    [Duration::from_millis(2), Duration::from_millis(20), Duration::from_millis(80)];

/// Timeout of one check; the target is on the same machine.
const CHECK_TIMEOUT: Duration = Duration::from_millis(50);

/// Time for which the requests of one crash are collected, so that they go out in one report.
const BATCH_DELAY: Duration = Duration::from_millis(120);

/// Timeout for another gate to acknowledge a report.
const REPORT_TIMEOUT: Duration = Duration::from_millis(500);

/// Most gates that a report is sent to at the same time, each over a connection of its own.
const REPORTS_MAX: usize = 64;

/// Dependencies of [`CrashTracker`].
pub struct CrashTrackerParts {
    /// The settings in force.
    pub settings: LiveSettings,
    /// All members, which include the other gates of the service.
    pub members: Members,
    /// Connections to other gates.
    pub upstream: Upstream,
    /// Counters of crashes and of reports that failed.
    pub counters: Counters,
    /// Log for crashes and for reports that failed.
    pub events: EventLog,
    /// Tracker of the spawned checks and reports.
    pub background: TaskTracker,
}

/// Crashes of targets that one gate knows of; clones share the state.
#[derive(Clone)]
pub struct CrashTracker {
    inner: Arc<Inner>,
}

struct Inner {
    parts: CrashTrackerParts,
    counts: Mutex<CrashCounts>,
    /// Requests of a crash that aren't reported to the other gates yet.
    unreported: Mutex<Vec<Fingerprint>>,
}

impl CrashTracker {
    /// Creates a tracker without known crashes.
    pub fn new(parts: CrashTrackerParts) -> Self {
        let inner = Inner { parts, counts: Mutex::default(), unreported: Mutex::default() };
        Self { inner: Arc::new(inner) }
    }

    /// Returns whether the request is quarantined, that is, no longer dispatched to targets.
    pub fn is_quarantined(&self, fingerprint: Fingerprint) -> bool {
        self.inner.counts.lock().is_quarantined(Instant::now().into(), fingerprint)
    }

    /// Records that a target responded to the request, so it crashed nothing.
    pub fn record_response(&self, fingerprint: Fingerprint) {
        self.inner.counts.lock().clear(fingerprint);
    }

    /// Records the crashes that another gate reports: fingerprints in hexadecimal, separated by
    /// commas.
    ///
    /// Fingerprints that can't be parsed are skipped.
    pub fn receive_report(&self, report: &HeaderValue) {
        let fingerprints = report.to_str().unwrap_or("").split(',');
        let fingerprints =
            fingerprints.filter_map(|text| Fingerprint::from_str_radix(text, 16).ok());
        let mut counts = self.inner.counts.lock();
        fingerprints
            .for_each(|fingerprint| counts.record_crash(Instant::now().into(), fingerprint));
    }

    /// Checks in the background whether `target` crashed while it ran the request, and reports it
    /// if so.
    pub fn check_target(&self, target: Arc<RoutedTargetView>, fingerprint: Fingerprint) {
        let this = self.clone();
        self.inner.parts.background.spawn(async move {
            if has_crashed(target.address).await {
                this.record_crash(&target, fingerprint).await;
            }
        });
    }

    async fn record_crash(&self, target: &RoutedTargetView, fingerprint: Fingerprint) {
        let parts = &self.inner.parts;
        parts.counters.add("gate.target_died");
        parts.events.write(|| TargetDied {
            target: target.target.clone(),
            life: target.incarnation,
            fingerprint: format!("{fingerprint:016x}"),
        });
        self.inner.counts.lock().record_crash(Instant::now().into(), fingerprint);
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
        let members = parts.members.of_service(service).into_iter();
        let others = members.filter(|member| member.instance != settings.instance);
        // Side by side, so that a gate that doesn't respond delays no other.
        let reports = stream::iter(others).for_each_concurrent(REPORTS_MAX, async |member| {
            let acknowledged =
                timeout(REPORT_TIMEOUT, self.report_to_gate(member.gate_address, &report));
            if acknowledged.await != Ok(true) {
                parts.counters.add("crashes.untold");
                parts.events.write(|| CrashReportNotSent { gate: member.instance.clone() });
            }
        });
        reports.await;
    }

    async fn report_to_gate(&self, address: SocketAddr, report: &HeaderValue) -> bool {
        let mut request = Request::new(body::empty());
        let map = request.headers_mut();
        map.insert(CRASH_SUSPECTS, report.clone());
        map.insert(header::HOST, HeaderValue::from_static("peer"));
        let sent = self.inner.parts.upstream.send(address, request, Freshness::Pooled);
        sent.await.is_ok_and(|response| response.status().is_success())
    }
}

/// Returns whether the target's process has exited, which shows in a port that refuses connections.
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
