//! Options, faults, counters and announcements of a target stand-in.

use std::net::{Ipv4Addr, SocketAddr};

use yuccarack_config::wire_data;

wire_data! {
    /// Options of a target stand-in.
    pub struct TargetOptions {
        /// Name of the target in the run log.
        pub name: String,
        /// Service that it announces.
        pub service: String,
        /// Address for calls.
        pub listen: SocketAddr,
        /// Control address for faults and the run log.
        pub control_listen: SocketAddr,
        /// Admin address of its daemon; without one the target isn't announced.
        pub admin: Option<SocketAddr>,
        /// Address to announce instead of the one that it listens on.
        pub announced: Option<SocketAddr>,
        /// Requests that run at once; further ones wait inside the target.
        pub slots: u16,
        /// Most open connections; further ones are closed.
        pub connections_max: u16,
        /// Requests inside the target above which it sheds load.
        pub shed_above: Option<u16>,
        /// Service time, in ms; `work_ms` in a request's query overrides it.
        pub service_ms: u64,
        /// Share of requests with a longer service time, in percent.
        pub tail_percent: u8,
        /// Mean additional service time of these, in ms.
        pub tail_ms: u64,
        /// Cold period after the start, in ms.
        pub cold_for_ms: u64,
        /// Additional service time during the cold period, in ms.
        pub cold_extra_ms: u64,
        /// Interval of announcements, in ms.
        pub announce_interval_ms: u64,
        /// Seed of the random service times.
        pub seed: u64,
        /// Incarnation of the target.
        pub boot_id: u64,
    }

    /// Faults of a target; `POST /faults` replaces all of them.
    #[derive(Default)]
    #[serde(default)]
    pub struct TargetFaults {
        /// Additional service time of each request, in ms.
        pub slow_ms: u64,
        /// Time from now on in which no request makes progress, in ms.
        pub stall_for_ms: u64,
        /// Status with which each request fails at once, after its run is logged.
        pub fail_fast: Option<u16>,
        /// Whether each request is shed.
        pub refuse_all: bool,
        /// False number of requests in flight that the load endpoint reports.
        pub lie_load: Option<u16>,
        /// Whether the load endpoint never responds.
        pub hang_load: bool,
        /// Length of a meaningless body that the load endpoint responds with, in bytes; 0 for none.
        pub noisy_load_bytes: u64,
        /// Longest age of the reported load, in ms.
        pub lag_load_ms: u64,
        /// Whether the target isn't announced any more.
        pub stop_announcing: bool,
        /// Length at which each response body is truncated, in bytes.
        pub cut_answers_after: Option<u64>,
    }

    /// Counters of a target.
    #[derive(Default)]
    #[serde(default)]
    pub struct TargetStats {
        /// Requests inside the target now, running or waiting.
        pub inside: u64,
        /// Highest number of requests inside the target at once.
        pub inside_most: u64,
        /// Highest number of open connections.
        pub connections_most: u64,
        /// Requests shed.
        pub shed: u64,
        /// Requests to the load endpoint.
        pub load_requests: u64,
        /// Bytes of load reports that callers read.
        pub load_bytes: u64,
        /// Total time for which requests to the load endpoint were open, in ms.
        pub load_open_ms: u64,
    }

    /// Announcement to the daemon's admin address.
    pub struct Announcement {
        /// Service of the target.
        pub service: String,
        /// Incarnation of the target.
        pub boot_id: u64,
        /// Address for calls.
        pub call_address: SocketAddr,
        /// Path of the load endpoint.
        pub load_path: Option<String>,
        /// Requests that it runs at once.
        pub slots: u16,
        /// Most open connections.
        pub connections_max: u16,
        /// Phase of its lifecycle: `starting`, `ready` or `draining`.
        pub state: String,
    }
}

impl TargetOptions {
    /// Makes options of a target of `service` named `name`, with the users' usual slots and
    /// connections, on ports assigned by the kernel.
    pub fn new(name: &str, service: &str) -> Self {
        let any = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
        Self {
            name: name.to_owned(),
            service: service.to_owned(),
            listen: any,
            control_listen: any,
            admin: None,
            announced: None,
            slots: 10,
            connections_max: 250,
            shed_above: None,
            service_ms: 1,
            tail_percent: 0,
            tail_ms: 0,
            cold_for_ms: 0,
            cold_extra_ms: 0,
            announce_interval_ms: 1_000,
            seed: 1,
            boot_id: 1,
        }
    }
}
