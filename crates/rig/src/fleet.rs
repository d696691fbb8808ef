//! The relays as processes: configured, started, ended, killed, stopped and let go on. Owns their folders, logs and
//! addresses. It must never signal a process that it did not start.

use std::fs;
use std::io::{BufRead, BufReader, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::Arc;

use anyhow::{Context, Result};
use nix::sys::signal::{Signal, kill};
use nix::unistd::Pid;
use serde_json::{Value, json};
use tokio::sync::watch;

use crate::partner::{COLD_FROM, FALLS_AFTER_S, FALLS_AT};
use crate::scenario::Scenario;

/// Ports of each relay's address. All lie under the range from which the system takes ports for calls, in a network of
/// loopback that only this play uses.
const CLIENTS: u16 = 7001;
const NOTES: u16 = 7002;
const CARRIER: u16 = 7003;
const AGENT: u16 = 7004;
const PARTNERS: u16 = 9000;
const PROXIES: u16 = 9500;

/// Clients that come back are told to stay away for so long at the most.
const LONGEST_ADVICE_US: u64 = 3_000_000;
/// Who holds this port of a network has the network.
const CLAIM: u16 = 7000;
/// Networks that a play asks for before it gives up.
const NETWORKS: u32 = 4096;

/// The addresses of a play, which no other play has meanwhile.
#[derive(Clone, Debug)]
pub struct Net {
    bytes: [u8; 2],
    _claim: Arc<TcpListener>,
}

impl Net {
    /// A network of loopback that nobody else has.
    ///
    /// # Errors
    /// Where all are taken.
    pub fn claim() -> std::io::Result<Self> {
        let mut failed = std::io::Error::other("no network of loopback is free");
        for n in 0..NETWORKS {
            // Others begin elsewhere, so that few are asked for in vain.
            let number = std::process::id().wrapping_add(n.wrapping_mul(257)) & 0x7fff;
            let bytes = [16 + (number >> 8) as u8, (number & 0xff) as u8];
            match TcpListener::bind((Ipv4Addr::new(127, bytes[0], bytes[1], 254), CLAIM)) {
                Ok(claim) => return Ok(Net { bytes, _claim: Arc::new(claim) }),
                Err(error) => failed = error,
            }
        }
        Err(failed)
    }

    fn at(&self, relay: usize, port: u16) -> SocketAddr {
        let host = u8::try_from(relay + 1).unwrap_or(u8::MAX);
        SocketAddr::from((Ipv4Addr::new(127, self.bytes[0], self.bytes[1], host), port))
    }

    /// Where a relay's clients connect.
    pub fn clients(&self, relay: usize) -> SocketAddr {
        self.at(relay, CLIENTS)
    }

    /// Where a relay hears notes.
    pub fn notes(&self, relay: usize) -> SocketAddr {
        self.at(relay, NOTES)
    }

    /// Where notes to a relay are sent.
    pub fn carrier(&self, relay: usize) -> SocketAddr {
        self.at(relay, CARRIER)
    }

    /// A relay's agent.
    pub fn agent(&self, relay: usize) -> SocketAddr {
        self.at(relay, AGENT)
    }

    /// Where a relay finds a partner behind a proxy.
    pub fn proxy(&self, relay: usize, partner: usize) -> SocketAddr {
        self.at(relay, PROXIES + u16::try_from(partner).unwrap_or(0))
    }

    /// Where a relay finds a partner.
    pub fn partner(&self, relay: usize, partner: usize) -> SocketAddr {
        self.at(relay, PARTNERS + u16::try_from(partner).unwrap_or(0))
    }
}

/// A relay's configuration in the platform's form.
pub fn configuration(scenario: &Scenario, net: &Net, relay: usize, seed: u64, known: Value) -> Value {
    let aim_us = scenario.load.time_left_ms * 1000 / 3;
    let class = |name: &str, effect: &str, worth: f64| {
        json!({"Name": name, "Idempotency": effect, "AimUs": aim_us,
            "DeadlineUs": scenario.load.time_left_ms * 1000, "Value": worth, "LateWorth": 0.3})
    };
    let carriers: Vec<SocketAddr> = (0..scenario.relays).map(|n| net.carrier(n)).collect();
    let cold_s = scenario.each_partner().iter().map(|partner| partner.cold_s).fold(0.0, f64::max);
    json!({
        "name": format!("n{relay}"), "seed": format!("{:x}", seed ^ ((relay as u64 + 1) << 32)),
        "listen": net.clients(relay), "discovery": net.agent(relay),
        "limits": {"sockets": 512, "disk_mb": 8, "memory_mb": 64},
        "peer_listen": net.notes(relay), "peers": carriers,
        "peer_zones": (0..scenario.relays).map(|n| scenario.zone(n)).collect::<Vec<_>>(),
        "known": known,
        "settings": {
            "Classes": [class("status-update", "idempotent", 1.0), class("paid-extra", "at_most_once", 3.0)],
            "Tenants": [{"Name": "desk", "QuotaPerS": 1e6}],
            "HostTypes": ["house"], "Zones": ["a"], "Weights": "nominal",
            "PeersTotal": scenario.relays, "MyNumber": relay,
            "Domain": {"MaxCalls": 24, "Late": "by_half"},
            "Limits": {"OpenCap": 240, "MaxAttempts": 12, "ConnectTimeoutUs": 1_000_000,
                "ConnIdleUs": 15_000_000, "Cancel": true, "Peers": true,
                "RetryAfter": scenario.load.come_back > 0.0, "MaxRetryAfterUs": LONGEST_ADVICE_US},
            "Rules": {"ColdFrom": COLD_FROM, "ColdUs": (cold_s.max(1.0) * 1e6) as i64,
                "FallMultiple": FALLS_AT, "OverloadForUs": (FALLS_AFTER_S * 1e6) as i64,
                "StopSendingWithinUs": 1_000_000}
        }
    })
}

/// One relay's process.
pub struct Process {
    program: PathBuf,
    folder: PathBuf,
    environment: Vec<(String, String)>,
    /// Variables of the next start alone.
    once: Vec<(String, String)>,
    child: Option<Child>,
    /// It has said that it is ready.
    pub ready: watch::Receiver<bool>,
}

impl Process {
    /// A relay that is not started yet, with a folder of its own.
    ///
    /// # Errors
    /// Where its folder cannot be written.
    pub fn new(
        program: &Path, environment: &[(String, String)], folder: PathBuf, configuration: &Value,
    ) -> Result<Self> {
        fs::create_dir_all(folder.join("state")).with_context(|| folder.display().to_string())?;
        fs::write(folder.join("config.json"), configuration.to_string())?;
        let ready = watch::channel(false).1;
        let (program, environment) = (program.into(), environment.to_vec());
        Ok(Process { program, folder, environment, once: Vec::new(), child: None, ready })
    }

    /// Sets variables for the next start alone.
    pub fn set_environment(&mut self, variables: Vec<(String, String)>) {
        self.once = variables;
    }

    /// Starts it; `ready` tells when it is.
    ///
    /// # Errors
    /// Where the program does not start.
    pub fn start(&mut self) -> Result<()> {
        let mut command = Command::new(&self.program);
        command
            .envs(self.environment.iter().cloned())
            .envs(std::mem::take(&mut self.once))
            .env("PROXY_CONFIG", self.folder.join("config.json"))
            .env("PROXY_STATE", self.folder.join("state"))
            .env("TULIPFALL_CONTROL", self.folder.join("control"))
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(Stdio::piped());
        let mut child = command.spawn().with_context(|| self.program.display().to_string())?;
        let lines = child.stderr.take().map(|stderr| BufReader::new(stderr).lines());
        let mut log = fs::File::options().create(true).append(true).open(self.log())?;
        let (tell, ready) = watch::channel(false);
        self.ready = ready;
        std::thread::spawn(move || {
            for line in lines.into_iter().flatten().map_while(Result::ok) {
                if line.contains(" ready, ") {
                    tell.send_replace(true);
                }
                let _ = writeln!(log, "{line}");
            }
        });
        self.child = Some(child);
        Ok(())
    }

    /// Where it answers operators.
    pub fn control(&self) -> PathBuf {
        self.folder.join("control")
    }

    /// Where its log is.
    pub fn log(&self) -> PathBuf {
        self.folder.join("log")
    }

    /// The number that the system gave it, while it runs.
    pub fn id(&self) -> Option<u32> {
        self.child.as_ref().map(Child::id)
    }

    /// Sends it a signal.
    pub fn signal(&self, signal: Signal) {
        let id = self.child.as_ref().and_then(|child| i32::try_from(child.id()).ok());
        if let Some(id) = id {
            let _ = kill(Pid::from_raw(id), signal);
        }
    }

    /// SIGKILL, and its folder where that is to be lost.
    pub fn kill(&mut self, folder_lost: bool) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
        if folder_lost {
            let state = self.folder.join("state");
            let _ = fs::remove_dir_all(&state).and_then(|()| fs::create_dir_all(&state));
        }
    }

    /// Whether it has ended, by itself or as it was told.
    pub fn ended(&mut self) -> Option<String> {
        let status = self.child.as_mut()?.try_wait().ok()??;
        Some(format!("{}: {status}", self.folder.display()))
    }

    /// Takes its end for granted, so that it may be started again.
    pub fn forget(&mut self) {
        self.child = None;
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill(false);
    }
}
