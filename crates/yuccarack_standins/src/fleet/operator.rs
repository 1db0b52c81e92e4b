//! Runs operator commands with `yuccarackctl`.

use std::{fs, io, net::SocketAddr, path::PathBuf, process::Stdio};

use serde_json::Value;
use tokio::task::spawn_blocking;
use yuccarack_config::{
    ids::Revision,
    rules::{RouteRules, RulesFile, ServiceRules},
};

/// Result of one command.
#[derive(Clone, Debug)]
pub struct CommandOutput {
    /// Exit code; -1 if a signal ended the command.
    pub exit_code: i32,
    /// Standard output, parsed as JSON; null if it isn't JSON.
    pub stdout_json: Value,
    /// Standard error.
    pub stderr: String,
}

/// Runs commands against one platform address.
#[derive(Clone, Debug)]
pub struct Operator {
    pub(super) program: PathBuf,
    pub(super) platform: SocketAddr,
    pub(super) folder: PathBuf,
    pub(super) timeout_ms: u32,
}

impl Operator {
    /// Returns the same operator with another platform address.
    pub fn with_platform(&self, platform: SocketAddr) -> Self {
        Self { platform, ..self.clone() }
    }

    /// Returns the same operator with another timeout per command.
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

    /// Writes `file` to disk and applies it.
    ///
    /// # Errors
    ///
    /// The file can't be written or the program can't be run.
    pub async fn apply(&self, name: &str, file: &RulesFile) -> io::Result<CommandOutput> {
        self.apply_with_hints(name, file, &[]).await
    }

    /// Like [`Operator::apply`], and hints the change to the daemons at the admin addresses
    /// `hinted`.
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

/// Makes a rules file of `services` based on the revision `based_on`.
pub fn rules_file(based_on: Revision, services: Vec<ServiceRules>) -> RulesFile {
    RulesFile { format: 1, based_on, services, removed: Vec::new() }
}

/// Makes rules of `service`: `/once` runs at most once, all other paths are repeatable.
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

/// Makes a route for all methods below `path_prefix`, with a deadline of 5 s.
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
