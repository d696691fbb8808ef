//! A client of a running relay's control socket: sends one line and reads one line of JSON.

use std::io::{BufRead, BufReader, Write};
use std::os::unix::net::UnixStream;
use std::path::PathBuf;

use clap::Args;
use serde_json::Value;
use tulipfall::config::Config;

use super::Failure;

/// The relay to query, and the format of its answer.
#[derive(Args)]
pub struct Socket {
    /// The relay's configuration file, whose peers.control names the socket
    #[arg(long, value_name = "FILE", required_unless_present = "socket")]
    config: Option<PathBuf>,
    /// Path of the control socket
    #[arg(long, value_name = "PATH")]
    socket: Option<PathBuf>,
    /// Print the relay's answer as JSON
    #[arg(long)]
    pub json: bool,
}

impl Socket {
    fn path(&self) -> Result<PathBuf, Failure> {
        match (&self.socket, &self.config) {
            (Some(path), _) => Ok(path.clone()),
            (None, Some(file)) => {
                let config = Config::load_file(file, |variable| std::env::var(variable).ok())?;
                let control = config.fleet.and_then(|fleet| fleet.control);
                Ok(control.ok_or_else(|| format!("{}: peers.control: is missing", file.display()))?)
            }
            (None, None) => Err("which relay? --config FILE or --socket PATH".into()),
        }
    }

    /// Sends one command to the relay and returns its answer.
    ///
    /// # Errors
    /// If no relay answers, or its answer is an error.
    pub fn ask(&self, line: &str) -> Result<Value, Failure> {
        let path = self.path()?;
        let connected = UnixStream::connect(&path);
        let mut stream =
            connected.map_err(|error| format!("{}: no relay answers: {error}", path.display()))?;
        stream.write_all(format!("{line}\n").as_bytes())?;
        let mut answer = String::new();
        BufReader::new(stream).read_line(&mut answer)?;
        let answer: Value = serde_json::from_str(&answer)?;
        match answer.get("error").and_then(Value::as_str) {
            Some(why) => Err(format!("{}: {why}", path.display()).into()),
            None => Ok(answer),
        }
    }
}
