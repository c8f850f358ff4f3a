//! The daemons as separate processes.

use eyre::{WrapErr, eyre};
use rustix::process::{Pid, Signal, kill_process};
use serde_json::json;
use std::fs::{self, File};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command};
use std::time::{Duration, Instant};

/// Ports of a host; every host has a loopback address of its own.
const CALLER_PORT: u16 = 7101;
const READINESS_PORT: u16 = 7102;
const DIRECTORY_PORT: u16 = 7103;
const PEER_PORT: u16 = 7104;

/// One daemon.
#[derive(Debug)]
pub struct HostProcess {
    /// Number of the host, from 1.
    pub number: u8,
    settings: PathBuf,
    log: PathBuf,
    child: Option<Child>,
}

/// All daemons of a rehearsal. Dropping it ends those that still run, by their ids.
#[derive(Debug)]
pub struct Hosts {
    net: u8,
    program: PathBuf,
    /// The daemons.
    pub hosts: Vec<HostProcess>,
}

impl Hosts {
    /// Writes the settings of the hosts into a directory; none is started yet. `net` is the second
    /// byte of their loopback addresses.
    ///
    /// # Errors
    ///
    /// Fails when the directory cannot be written.
    pub fn prepare(
        program: &Path,
        dir: &Path,
        net: u8,
        zones: &[&str],
        store: SocketAddr,
    ) -> eyre::Result<Self> {
        fs::create_dir_all(dir).wrap_err("the directory for settings cannot be made")?;
        let mut hosts = Vec::new();
        for (index, zone) in zones.iter().enumerate() {
            let number = u8::try_from(index + 1).wrap_err("too many hosts")?;
            let settings = dir.join(format!("host-{number}.json"));
            let content = settings_of(net, number, zone, zones.len(), store);
            fs::write(&settings, content).wrap_err("settings cannot be written")?;
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

    /// Returns the address for callers of a host.
    #[must_use]
    pub fn caller_addr(&self, number: u8) -> SocketAddr {
        addr(self.net, number, CALLER_PORT)
    }

    /// Returns the addresses that tell callers where to connect.
    #[must_use]
    pub fn directory_addrs(&self) -> Vec<SocketAddr> {
        let of = |host: &HostProcess| addr(self.net, host.number, DIRECTORY_PORT);
        self.hosts.iter().map(of).collect()
    }

    /// Returns the readiness address of a host.
    #[must_use]
    pub fn readiness_addr(&self, number: u8) -> SocketAddr {
        addr(self.net, number, READINESS_PORT)
    }

    /// Starts a host that does not run.
    ///
    /// # Errors
    ///
    /// Fails when the program cannot be started.
    pub fn start(&mut self, index: usize) -> eyre::Result<()> {
        let program = self.program.clone();
        let host = self
            .hosts
            .get_mut(index)
            .ok_or_else(|| eyre!("no such host"))?;
        if host.is_running() {
            return Ok(());
        }
        let log = File::options()
            .create(true)
            .append(true)
            .open(&host.log)
            .wrap_err("the log cannot be opened")?;
        let child = Command::new(program)
            .env("HEATHERHINGE_NODE_FILE", &host.settings)
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()
            .wrap_err("the daemon cannot be started")?;
        host.child = Some(child);
        Ok(())
    }

    /// Starts all hosts.
    ///
    /// # Errors
    ///
    /// Fails when the program cannot be started.
    pub fn start_all(&mut self) -> eyre::Result<()> {
        (0..self.hosts.len()).try_for_each(|index| self.start(index))
    }
}

impl HostProcess {
    /// Sends a signal; a host that does not run gets none.
    pub fn signal(&mut self, signal: Signal) {
        let id = self.child.as_ref().map(Child::id);
        let pid = id
            .and_then(|id| i32::try_from(id).ok())
            .and_then(Pid::from_raw);
        if let Some(pid) = pid {
            // The process may have ended by itself, which the next start finds out.
            kill_process(pid, signal).ok();
        }
    }

    /// Returns the path of the file that holds what the process has logged.
    #[must_use]
    pub fn log(&self) -> &Path {
        &self.log
    }

    /// Replaces a text in the settings file, which the host reads again.
    ///
    /// # Errors
    ///
    /// Fails when the file cannot be read or written.
    pub fn edit_settings(&self, from: &str, to: &str) -> std::io::Result<()> {
        let text = std::fs::read_to_string(&self.settings)?;
        std::fs::write(&self.settings, text.replace(from, to))
    }

    /// Returns whether the process runs.
    pub fn is_running(&mut self) -> bool {
        match &mut self.child {
            Some(child) => matches!(child.try_wait(), Ok(None)),
            None => false,
        }
    }

    /// Waits until the process has ended; returns whether it ended in time, and with success.
    pub async fn wait(&mut self, longest: Duration) -> Option<bool> {
        let until = Instant::now() + longest;
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

    /// Kills the process and waits for its end.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            // Both fail only if the process has ended already.
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

fn settings_of(net: u8, number: u8, zone: &str, count: usize, store: SocketAddr) -> String {
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
