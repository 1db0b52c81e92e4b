//! An operator at the command line of `yuccarackctl`.

use std::{fs, io, net::SocketAddr, path::PathBuf, process::Stdio};

use serde_json::Value;
use tokio::task::spawn_blocking;
use yuccarack_config::{
    ids::Revision,
    rules::{RouteRules, RulesFile, ServiceRules},
};

/// What one command came to.
#[derive(Clone, Debug)]
pub struct CommandOutput {
    /// Its exit code.
    pub exit_code: i32,
    /// What it printed, as JSON.
    pub stdout_json: Value,
    /// What it said besides.
    pub stderr: String,
}

/// An operator with a platform address.
#[derive(Clone, Debug)]
pub struct Operator {
    pub(super) program: PathBuf,
    pub(super) platform: SocketAddr,
    pub(super) folder: PathBuf,
    pub(super) timeout_ms: u32,
}

impl Operator {
    /// The same operator with another way to the platform.
    pub fn with_platform(&self, platform: SocketAddr) -> Self {
        Self { platform, ..self.clone() }
    }

    /// The same operator with `timeout_ms` for a whole command.
    pub fn with_timeout_ms(&self, timeout_ms: u32) -> Self {
        Self { timeout_ms, ..self.clone() }
    }

    /// Runs a command with `--json`.
    ///
    /// # Errors
    ///
    /// The program can't be run.
    pub async fn run(&self, arguments: &[&str]) -> io::Result<CommandOutput> {
        let mut command = std::process::Command::new(&self.program);
        command.args(arguments).arg("--json").arg("--platform").arg(self.platform.to_string());
        command.arg("--timeout-ms").arg(self.timeout_ms.to_string()).stdin(Stdio::null());
        let output = spawn_blocking(move || command.output()).await??;
        let stdout_json = serde_json::from_slice(&output.stdout).unwrap_or(Value::Null);
        let stderr = String::from_utf8_lossy(&output.stderr).into_owned();
        Ok(CommandOutput { exit_code: output.status.code().unwrap_or(-1), stdout_json, stderr })
    }

    /// Applies `file`.
    ///
    /// # Errors
    ///
    /// The file can't be written or the program can't be run.
    pub async fn apply(&self, name: &str, file: &RulesFile) -> io::Result<CommandOutput> {
        self.apply_with_hints(name, file, &[]).await
    }

    /// Applies `file` and hints the daemons at the admin addresses `hinted`.
    ///
    /// # Errors
    ///
    /// The file can't be written or the program can't be run.
    pub async fn apply_with_hints(
        &self,
        name: &str,
        file: &RulesFile,
        hinted: &[&str],
    ) -> io::Result<CommandOutput> {
        let path = self.folder.join(format!("{name}.rules.json"));
        fs::write(&path, serde_json::to_vec_pretty(file)?)?;
        let path = path.to_string_lossy();
        let mut arguments = vec!["apply", "--operator", name, &path];
        hinted.iter().for_each(|daemon| arguments.extend(["--daemon", daemon]));
        self.run(&arguments).await
    }
}

/// A rules file of `services` based on `based_on`.
pub fn rules_file(based_on: Revision, services: Vec<ServiceRules>) -> RulesFile {
    RulesFile { format: 1, based_on, services, removed: Vec::new() }
}

/// Rules of `service`: `/once` runs at most once, all else may repeat.
pub fn service_rules(service: &str) -> ServiceRules {
    ServiceRules {
        name: service.to_owned(),
        routes: vec![route("once", "/once", false), route("read", "/", true)],
        limits: Default::default(),
        retry: Default::default(),
        hedge: Default::default(),
        measuring: Default::default(),
        ejection: Default::default(),
    }
}

/// A route for all methods below `path_prefix`, with a deadline of 5 s.
pub fn route(name: &str, path_prefix: &str, repeatable: bool) -> RouteRules {
    RouteRules {
        name: name.to_owned(),
        methods: Vec::new(),
        path_prefix: path_prefix.to_owned(),
        repeatable: Some(repeatable),
        deadline_ms: 5_000,
        slot_share_percent: 100,
    }
}
