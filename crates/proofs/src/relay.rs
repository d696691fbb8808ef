//! A relay as a process: built, configured, started, killed and started again. Owns the process and its log.

use std::io::{BufRead, BufReader, Write};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};

use tokio::sync::watch;

use crate::Failure;

/// Builds the program; with its order of writes broken on purpose where asked for. Tells where it is.
///
/// # Errors
/// Where it cannot be built.
pub fn build(broken_order: bool) -> Result<PathBuf, Failure> {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("../..");
    let target = root.join(if broken_order { "target/broken-order" } else { "target" });
    let mut command = Command::new(std::env::var("CARGO").unwrap_or_else(|_| "cargo".into()));
    command.current_dir(&root).args(["build", "--release", "--locked", "--bin", "tulipfall", "--target-dir"]);
    command.arg(&target);
    if broken_order {
        command.args(["--features", "broken-order"]);
    }
    if !command.status()?.success() {
        return Err("the relay cannot be built".into());
    }
    Ok(target.join("release/tulipfall"))
}

/// A relay with a configuration of its own.
pub struct Relay {
    program: PathBuf,
    file: PathBuf,
    log: PathBuf,
    child: Option<Child>,
    /// Where it listens; none while it is not ready.
    pub address: watch::Sender<Option<SocketAddr>>,
}

/// What a relay is told.
pub struct Setting<'a> {
    /// Its name.
    pub name: &'a str,
    /// The table `[store]` without its head.
    pub store: &'a str,
    /// Its partners, one a destination, numbered from 1.
    pub partners: &'a [SocketAddr],
    /// What the list says that each takes in a second; plenty where it is empty.
    pub per_s: &'a [f64],
    /// How many relays share that.
    pub relays: usize,
    /// Messages held, and calls at once.
    pub held: usize,
    /// Until when a message has its full worth.
    pub aim_ms: u32,
    /// When a message is given up.
    pub deadline_ms: u32,
    /// Its disk.
    pub disk_mb: u32,
    /// More tables.
    pub more: &'a str,
}

impl Relay {
    /// Writes the configuration into a folder.
    ///
    /// # Errors
    /// Where it cannot be written.
    pub fn new(program: &Path, folder: &Path, setting: &Setting) -> Result<Self, Failure> {
        let Setting { name, store, partners, per_s, relays, held, aim_ms, deadline_ms, disk_mb, more } =
            setting;
        let mut text = format!(
            "name = \"{name}\"\nlisten = \"127.0.0.1:0\"\nstate = \"{name}.state\"\n[store]\n{store}\n\
             [limits]\ndisk_mb = {disk_mb}\n[relay]\nrelays = {relays}\ncalls_at_once = {held}\n\
             messages_held = {held}\n"
        );
        for (class, effect) in [("paid-extra", "once"), ("status-update", "repeatable")] {
            text += &format!(
                "[[class]]\nname = \"{class}\"\neffect = \"{effect}\"\naim_ms = {aim_ms}\ndeadline_ms = {deadline_ms}\n"
            );
        }
        text += "[[tenant]]\nname = \"desk\"\n";
        for (n, partner) in partners.iter().enumerate() {
            let (number, per_s) = (n + 1, per_s.get(n).copied().unwrap_or(100_000.0));
            text += &format!(
                "[[destination]]\nnumber = {number}\nper_s = {per_s}\nendpoints = [\"{partner}\"]\n"
            );
        }
        text += more;
        let file = folder.join(format!("{name}.toml"));
        std::fs::write(&file, text)?;
        let log = folder.join(format!("{name}.log"));
        let address = watch::channel(None).0;
        Ok(Relay { program: program.to_path_buf(), file, log, child: None, address })
    }

    /// Starts it and waits until it is ready.
    ///
    /// # Errors
    /// Where it does not become ready; its log tells why.
    pub fn start(&mut self) -> Result<(), Failure> {
        let mut command = Command::new(&self.program);
        command.args(["run", "--config"]).arg(&self.file).stderr(Stdio::piped());
        let mut child = command.spawn()?;
        let stderr = child.stderr.take().ok_or("no log")?;
        self.child = Some(child);
        let mut log = std::fs::File::options().create(true).append(true).open(&self.log)?;
        let mut lines = BufReader::new(stderr).lines();
        let mut address = None;
        loop {
            let line = lines.next().ok_or_else(|| format!("it ended; see {}", self.log.display()))??;
            writeln!(log, "{line}")?;
            if let Some((_, at)) = line.split_once("listening on ") {
                address = Some(at.trim().parse::<SocketAddr>()?);
            }
            if line.contains(" ready, ") {
                break;
            }
        }
        // Read on, so that it never waits for a reader.
        std::thread::spawn(move || {
            for line in lines.map_while(Result::ok) {
                let _ = writeln!(log, "{line}");
            }
        });
        self.address.send_replace(address);
        Ok(())
    }

    /// SIGKILL.
    pub fn kill(&mut self) {
        self.address.send_replace(None);
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// SIGTERM; waits for its end, and tells whether it was a good one.
    ///
    /// # Errors
    /// Where it cannot be told to.
    pub fn stop(&mut self) -> Result<bool, Failure> {
        let Some(mut child) = self.child.take() else { return Ok(true) };
        Command::new("kill").args(["-TERM", &child.id().to_string()]).status()?;
        Ok(child.wait()?.success())
    }
}

impl Drop for Relay {
    fn drop(&mut self) {
        self.kill();
    }
}
