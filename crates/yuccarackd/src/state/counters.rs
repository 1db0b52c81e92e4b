//! Counters of refusals, retries, hedges, claims and control events.

use std::{
    collections::BTreeMap,
    net::{SocketAddr, UdpSocket},
    sync::Arc,
};

use cadence::{Counted, StatsdClient, UdpMetricSink};
use parking_lot::Mutex;

/// Prefix of every counter at the metrics collector.
const PREFIX: &str = "yuccarack";

/// All counters of one daemon; clones share them.
#[derive(Clone, Debug, Default)]
pub struct Counters {
    numbers: Arc<Mutex<BTreeMap<String, u64>>>,
    collector: Option<Arc<StatsdClient>>,
}

impl Counters {
    /// Creates counters that aren't sent to a collector.
    pub fn new() -> Self {
        Self::default()
    }

    /// Also sends each count to the statsd collector at `address`.
    ///
    /// # Errors
    ///
    /// Returns the error of the operating system if the UDP socket can't be created.
    pub fn with_collector(mut self, address: SocketAddr) -> std::io::Result<Self> {
        let unspecified = if address.is_ipv4() { "0.0.0.0:0" } else { "[::]:0" };
        let socket = UdpSocket::bind(unspecified)?;
        socket.set_nonblocking(true)?;
        let sink = UdpMetricSink::from(address, socket).map_err(std::io::Error::other)?;
        self.collector = Some(Arc::new(StatsdClient::from_sink(PREFIX, sink)));
        Ok(self)
    }

    /// Adds one to `name`.
    pub fn add(&self, name: &str) {
        self.add_many(name, 1);
    }

    /// Adds `number` to `name`.
    pub fn add_many(&self, name: &str, number: u64) {
        {
            let mut numbers = self.numbers.lock();
            match numbers.get_mut(name) {
                Some(count) => *count += number,
                None => {
                    numbers.insert(name.to_owned(), number);
                }
            }
        }
        if let Some(collector) = &self.collector {
            // An unreachable collector must never delay a call, so a failed send is ignored.
            let _ = collector.count(name, i64::try_from(number).unwrap_or(i64::MAX));
        }
    }

    /// Adds one to the counter of `reason` within `group`.
    pub fn add_reason(&self, group: &str, reason: &str) {
        self.add(&format!("{group}.{reason}"));
    }

    /// Returns all counters that have been incremented.
    pub fn snapshot(&self) -> BTreeMap<String, u64> {
        self.numbers.lock().clone()
    }
}
