//! Starts the daemons as separate processes and sends them signals.

use eyre::{WrapErr, eyre};
use rustix::process::{Pid, Signal, kill_process};
use serde_json::json;
use std::fs::{self, File};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command};
use std::time::{Duration, Instant};

/// Ports of a host. Every host has its own loopback address.
const CALLER_PORT: u16 = 7101;
const READINESS_PORT: u16 = 7102;
const DIRECTORY_PORT: u16 = 7103;
const PEER_PORT: u16 = 7104;

/// The daemon of one host, which runs or not. Dropping it kills the process.
#[derive(Debug)]
pub struct HostProcess {
    /// Number of the host, from 1; third byte of its loopback address.
    pub number: u8,
    settings: PathBuf,
    log: PathBuf,
    child: Option<Child>,
}

/// All daemons of a deployment. Dropping it kills those that still run, by their process ids.
#[derive(Debug)]
pub struct Hosts {
    net: u8,
    program: PathBuf,
    /// The daemons, in the order of their numbers.
    pub hosts: Vec<HostProcess>,
}

impl Hosts {
    /// Writes the settings files of the hosts into a directory and starts no host. `net` is the
    /// second byte of their loopback addresses; each entry of `zones` makes one host.
    ///
    /// # Errors
    ///
    /// Fails if the directory cannot be written or there are more than 255 hosts.
    pub fn prepare(
        program: &Path,
        dir: &Path,
        net: u8,
        zones: &[&str],
        store: SocketAddr,
    ) -> eyre::Result<Self> {
        fs::create_dir_all(dir).wrap_err("cannot create the settings directory")?;
        let mut hosts = Vec::new();
        for (index, zone) in zones.iter().enumerate() {
            let number = u8::try_from(index + 1).wrap_err("more than 255 hosts")?;
            let settings = dir.join(format!("host-{number}.json"));
            let content = settings_json(net, number, zone, zones.len(), store);
            fs::write(&settings, content).wrap_err("cannot write a settings file")?;
            hosts.push(HostProcess {
                number,
                settings,
                log: dir.join(format!("host-{number}.log")),
                child: None,
            });
        }
        Ok(Self {
            net,
            program: program.to_owned(),
            hosts,
        })
    }

    /// Returns the address of a host for callers.
    #[must_use]
    pub fn caller_addr(&self, number: u8) -> SocketAddr {
        addr(self.net, number, CALLER_PORT)
    }

    /// Returns the addresses of the directories, which return host addresses to callers.
    #[must_use]
    pub fn directory_addrs(&self) -> Vec<SocketAddr> {
        let directory_addr = |host: &HostProcess| addr(self.net, host.number, DIRECTORY_PORT);
        self.hosts.iter().map(directory_addr).collect()
    }

    /// Returns the address of a host for readiness checks.
    #[must_use]
    pub fn readiness_addr(&self, number: u8) -> SocketAddr {
        addr(self.net, number, READINESS_PORT)
    }

    /// Returns the address of a host for the exchange between hosts.
    #[must_use]
    pub fn peer_addr(&self, number: u8) -> SocketAddr {
        addr(self.net, number, PEER_PORT)
    }

    /// Starts a host; does nothing if it is running.
    ///
    /// # Errors
    ///
    /// Fails if the log file cannot be opened or the program cannot be started.
    pub fn start(&mut self, index: usize) -> eyre::Result<()> {
        let program = self.program.clone();
        let host = self
            .hosts
            .get_mut(index)
            .ok_or_else(|| eyre!("no host with index {index}"))?;
        if host.is_running() {
            return Ok(());
        }
        let log = File::options()
            .create(true)
            .append(true)
            .open(&host.log)
            .wrap_err("cannot open the log file of the host")?;
        let child = Command::new(program)
            .env("HEATHERHINGE_NODE_FILE", &host.settings)
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()
            .wrap_err("cannot start the daemon")?;
        host.child = Some(child);
        Ok(())
    }

    /// Starts all hosts.
    ///
    /// # Errors
    ///
    /// Fails if the log file cannot be opened or the program cannot be started.
    pub fn start_all(&mut self) -> eyre::Result<()> {
        (0..self.hosts.len()).try_for_each(|index| self.start(index))
    }
}

impl HostProcess {
    /// Sends a signal; does nothing if the host was not started.
    pub fn signal(&mut self, signal: Signal) {
        let pid = self
            .id()
            .and_then(|id| i32::try_from(id).ok())
            .and_then(Pid::from_raw);
        if let Some(pid) = pid {
            // The process may have exited by itself, which the next start detects.
            kill_process(pid, signal).ok();
        }
    }

    /// Returns the id of the process; `None` if it was not started.
    #[must_use]
    pub fn id(&self) -> Option<u32> {
        self.child.as_ref().map(Child::id)
    }

    /// Returns the path of the file with the output of the process.
    #[must_use]
    pub fn log(&self) -> &Path {
        &self.log
    }

    /// Replaces a text in the settings file, which the host reloads.
    ///
    /// # Errors
    ///
    /// Fails if the file cannot be read or written.
    pub fn edit_settings(&self, from: &str, to: &str) -> std::io::Result<()> {
        let text = std::fs::read_to_string(&self.settings)?;
        std::fs::write(&self.settings, text.replace(from, to))
    }

    /// Returns whether the process is running. Also true while it is paused.
    pub fn is_running(&mut self) -> bool {
        match &mut self.child {
            Some(child) => matches!(child.try_wait(), Ok(None)),
            None => false,
        }
    }

    /// Waits until the process has exited. Returns whether it exited with success, or `None` if it did
    /// not exit in time or was not started.
    pub async fn wait(&mut self, timeout: Duration) -> Option<bool> {
        let until = Instant::now() + timeout;
        let child = self.child.as_mut()?;
        while Instant::now() < until {
            if let Ok(Some(status)) = child.try_wait() {
                self.child = None;
                return Some(status.success());
            }
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
        None
    }

    /// Kills the process and waits until it has exited.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            // Both fail only if the process has already exited.
            child.kill().ok();
            child.wait().ok();
        }
    }
}

impl Drop for HostProcess {
    fn drop(&mut self) {
        self.kill();
    }
}

fn addr(net: u8, number: u8, port: u16) -> SocketAddr {
    ([127, net, number, 1], port).into()
}

fn settings_json(net: u8, number: u8, zone: &str, count: usize, store: SocketAddr) -> String {
    let seeds: Vec<SocketAddr> = (1..=3_u8)
        .filter(|seed| usize::from(*seed) <= count)
        .map(|seed| addr(net, seed, PEER_PORT))
        .collect();
    json!({
        "node": format!("host-{number}"), "zone": zone, "seeds": seeds,
        "listen": {
            "front": addr(net, number, CALLER_PORT),
            "readiness": addr(net, number, READINESS_PORT),
            "directory": addr(net, number, DIRECTORY_PORT),
            "control": addr(net, number, PEER_PORT),
        },
        "limits": {"cpu_share": 0.2, "link_mbps": 1000.0},
        "bounds": [
            "drain=2000ms", "grace=6s", "retry_budget_ratio=0.2", "budget_window=10s",
            "budget_extra=58", "probes_per_s=60",
        ],
        "platform": {"address": store},
    })
    .to_string()
}
