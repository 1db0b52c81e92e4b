//! One instance of a fleet: a target, its daemon, and a faulty link to each side.

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

/// First of the ports of a daemon.
const FIRST_PORT: u16 = 7_000;

/// IP numbers that differ in their last part only.
const LAST_PARTS: u32 = 250;

/// Nodes of this process so far.
static NODES: AtomicU32 = AtomicU32::new(0);

/// Faulty links of one node.
#[derive(Debug)]
pub struct Links {
    /// From its daemon to the platform.
    pub platform: Proxy,
    /// From other daemons to its gate.
    pub gate: Proxy,
    /// From other daemons to its control address.
    pub control: Proxy,
    /// From its daemon to its target.
    pub target: Proxy,
}

/// One instance.
#[derive(Debug)]
pub struct Node {
    /// What its daemon is told.
    pub settings: DaemonSettings,
    /// Its target.
    pub target: Target,
    /// Its links.
    pub links: Links,
    /// Its daemon, while one runs.
    pub daemon: Option<Daemon>,
    program: PathBuf,
    folder: PathBuf,
}

impl Node {
    /// Starts the target and the links of an instance, and no daemon yet.
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
            // An address of its own, so that no outgoing connection is given the port of a target
            // that is away.
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

    /// Name of the instance.
    pub fn name(&self) -> &str {
        &self.settings.instance
    }

    /// Where its daemon takes calls.
    pub fn call_address(&self) -> SocketAddr {
        self.settings.call_address
    }

    /// Where its daemon tells of itself.
    pub fn admin_address(&self) -> SocketAddr {
        self.settings.admin_address
    }

    /// Starts its daemon.
    ///
    /// # Errors
    ///
    /// The daemon can't be started or doesn't get ready.
    pub async fn start_daemon(&mut self) -> io::Result<()> {
        let settings = self.folder.join(format!("{}.json", self.name()));
        fs::write(&settings, serde_json::to_vec_pretty(&self.settings)?)?;
        let log = self.folder.join(format!("{}.log", self.name()));
        self.daemon = Some(Daemon::start(&self.program, &settings, &log).await?);
        Ok(())
    }

    /// The daemon that runs.
    ///
    /// # Panics
    ///
    /// None runs.
    pub fn daemon(&mut self) -> &mut Daemon {
        self.daemon.as_mut().expect("no daemon runs on this node")
    }

    /// Kills its daemon.
    pub fn kill_daemon(&mut self) {
        self.daemon = None;
    }

    /// Stops the target and the links.
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

/// Addresses of one daemon, on an IP number of its own.
///
/// Ports that the kernel gives could be taken by a link while a daemon is being restarted; an IP
/// number that nobody else dials from keeps them.
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
