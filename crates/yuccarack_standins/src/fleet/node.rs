//! One instance of a fleet: a target, its daemon, and the proxies of their links.

use std::{
    fs, io,
    net::{Ipv4Addr, SocketAddr},
    path::{Path, PathBuf},
    sync::atomic::{AtomicU32, Ordering},
};

use yuccarack_config::settings::DaemonSettings;

use super::{
    plan::{DOMAINS, FleetPlan},
    process::Daemon,
};
use crate::{
    proxy::Proxy,
    target::{CrashMode, RunLog, Target, TargetOptions},
};

/// First port of a daemon.
const FIRST_PORT: u16 = 7_000;

/// Number of IP addresses that differ in the last octet only.
const LAST_PARTS: u32 = 250;

/// Number of address sets that this process has allocated.
static NODES: AtomicU32 = AtomicU32::new(0);

/// Fault-injecting proxies of one node.
#[derive(Debug)]
pub struct Links {
    /// From the daemon to the platform.
    pub platform: Proxy,
    /// From other daemons to the gate.
    pub gate: Proxy,
    /// From other daemons to the control address.
    pub control: Proxy,
    /// From the daemon to its target.
    pub target: Proxy,
}

/// One instance of a fleet.
#[derive(Debug)]
pub struct Node {
    /// Settings of the daemon.
    pub settings: DaemonSettings,
    /// The target, which runs in this process.
    pub target: Target,
    /// Proxies of the links.
    pub links: Links,
    /// The daemon process, while it runs.
    pub daemon: Option<Daemon>,
    program: PathBuf,
    folder: PathBuf,
}

impl Node {
    /// Starts the target and the proxies of an instance, but no daemon.
    pub(super) async fn start(
        plan: &FleetPlan,
        number: usize,
        platform: SocketAddr,
        seed_peers: Vec<SocketAddr>,
        run_log: &RunLog,
        folder: &Path,
    ) -> io::Result<Self> {
        let options = &plan.targets[number];
        let addresses = addresses();
        let any = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
        let target_link = Proxy::start(any, any).await?;
        let options = TargetOptions {
            // A separate IP address, so that the kernel can't assign the port of a target that is
            // down to an outgoing connection.
            listen: self::addresses()[0],
            admin: Some(addresses[2]),
            announced: plan.has_target_links.then(|| target_link.address()),
            ..options.clone()
        };
        let links = Links {
            platform: Proxy::start(any, platform).await?,
            gate: Proxy::start(any, addresses[1]).await?,
            control: Proxy::start(any, addresses[3]).await?,
            target: target_link,
        };
        let settings = DaemonSettings {
            instance: options.name.clone(),
            failure_domain: DOMAINS[number % DOMAINS.len()].to_owned(),
            call_address: addresses[0],
            gate_address: addresses[1],
            admin_address: addresses[2],
            control_address: addresses[3],
            told_gate_address: Some(links.gate.address()),
            told_control_address: Some(links.control.address()),
            platform_address: links.platform.address(),
            seed_peers,
            statsd_address: None,
            announce_from: vec![Ipv4Addr::LOCALHOST.into()],
            admin_from: vec![Ipv4Addr::LOCALHOST.into()],
            call_threads: 2,
            log: Default::default(),
            budgets: plan.budgets.clone(),
        };
        let target = Target::start(options, CrashMode::CloseConnections, run_log.clone()).await?;
        links.target.set_upstream(target.address());
        let program = plan.program.clone();
        let folder = folder.to_owned();
        Ok(Self { settings, target, links, daemon: None, program, folder })
    }

    /// Returns the name of the instance.
    pub fn name(&self) -> &str {
        &self.settings.instance
    }

    /// Returns the daemon's address for calls.
    pub fn call_address(&self) -> SocketAddr {
        self.settings.call_address
    }

    /// Returns the daemon's admin address.
    pub fn admin_address(&self) -> SocketAddr {
        self.settings.admin_address
    }

    /// Starts the daemon and waits until it serves.
    ///
    /// # Errors
    ///
    /// The daemon can't be started or exits before it serves.
    pub async fn start_daemon(&mut self) -> io::Result<()> {
        let settings = self.folder.join(format!("{}.json", self.name()));
        fs::write(&settings, serde_json::to_vec_pretty(&self.settings)?)?;
        let log = self.folder.join(format!("{}.log", self.name()));
        self.daemon = Some(Daemon::start(&self.program, &settings, &log).await?);
        Ok(())
    }

    /// Returns the running daemon.
    ///
    /// # Panics
    ///
    /// No daemon runs on this node.
    pub fn daemon(&mut self) -> &mut Daemon {
        self.daemon.as_mut().expect("no daemon runs on this node")
    }

    /// Kills the daemon.
    pub fn kill_daemon(&mut self) {
        self.daemon = None;
    }

    /// Kills the daemon and stops the target and the proxies.
    pub(super) async fn stop(self) {
        let Self { target, links, daemon, .. } = self;
        drop(daemon);
        target.stop().await;
        links.platform.stop().await;
        links.gate.stop().await;
        links.control.stop().await;
        links.target.stop().await;
    }
}

/// Allocates the addresses of one daemon, on a separate loopback IP address.
///
/// A port assigned by the kernel could be taken by another connection while the daemon restarts.
/// Ports of an IP address that no outgoing connection uses stay free.
fn addresses() -> [SocketAddr; 4] {
    let node = NODES.fetch_add(1, Ordering::Relaxed);
    let process = std::process::id();
    let byte = |number: u32| u8::try_from(number).unwrap_or(u8::MAX);
    let ip = Ipv4Addr::new(
        127,
        byte(1 + (process >> 8) % 250),
        byte(process & 0xff),
        byte(1 + node % LAST_PARTS),
    );
    let first = FIRST_PORT + 10 * u16::try_from(node / LAST_PARTS).unwrap_or(0);
    [0, 1, 2, 3].map(|offset| SocketAddr::from((ip, first + offset)))
}
