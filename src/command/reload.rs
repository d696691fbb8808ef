//! A reload of the configuration while the relay serves: what it reaches, and its tries while the file cannot be read.

use std::net::SocketAddr;
use std::sync::Arc;

use tokio::sync::{mpsc, watch};
use tracing::{info, warn};

use tulipfall::config::{Config, ConfigError};
use tulipfall::input::{Input, ReloadedSettings};
use tulipfall::retry::RetryBackoff;

/// Where discovery is asked and where notices go, as texts.
pub fn addresses(config: &Config) -> [Option<Arc<str>>; 2] {
    [config.discovery, config.notices].map(|address| address.map(|address| address.to_string().into()))
}

/// What a reload reaches, and what it was read against.
pub struct Reload {
    /// The file as it counted at the start, for what only a start takes on.
    pub start: Config,
    /// What was last taken on of its settings.
    pub last: Option<ReloadedSettings>,
    pub to: [watch::Sender<Option<Arc<str>>>; 2],
    pub relays: watch::Sender<Vec<SocketAddr>>,
    pub inputs: mpsc::Sender<Input>,
}

impl Reload {
    /// Takes on what a new configuration changes, whole; one that cannot be used leaves all as it is.
    pub fn take(&mut self, new: Result<Config, ConfigError>) {
        let new = match new.and_then(|new| new.whole_beside(&self.start).map(|()| new)) {
            Ok(new) => new,
            Err(error) => {
                return warn!("the configuration cannot be used, the old one stays: {error}");
            }
        };
        // First what new messages and attempts go by, then where news comes from.
        let retuned = new.retuned(&self.start);
        if self.last.as_ref().unwrap_or(&self.start.retuned(&self.start)) != &retuned {
            // Inputs wait for the runtime, which this task drives too.
            let (inputs, retuned) = (self.inputs.clone(), Box::new(retuned.clone()));
            tokio::spawn(async move { inputs.send(Input::SettingsReloaded(retuned)).await });
        }
        self.last = Some(retuned);
        for (address, to) in addresses(&new).into_iter().zip(&self.to) {
            to.send_if_modified(|old| std::mem::replace(old, address.clone()) != address);
        }
        if let Some(fleet) = &new.fleet {
            self.relays.send_if_modified(|old| std::mem::replace(old, fleet.all.clone()) != fleet.all);
        }
        let left = self.start.need_a_start(&new);
        let left =
            if left.is_empty() { String::new() } else { format!("; needs a restart: {}", left.join(", ")) };
        info!("configuration read again{left}");
    }
}

/// The tries of one reload: a file that cannot be read for a moment is read again, while the relay serves.
#[derive(Default)]
pub struct Reread {
    retries: RetryBackoff,
    again_at: Option<tokio::time::Instant>,
}

impl Reread {
    /// Waits until the file is to be read again; for ever where it is not.
    pub async fn due(&self) {
        match self.again_at {
            Some(at) => tokio::time::sleep_until(at).await,
            None => std::future::pending().await,
        }
    }

    /// Reads once; none where that is tried again later.
    pub fn read(
        &mut self, load: impl FnOnce() -> Result<Config, ConfigError>,
    ) -> Option<Result<Config, ConfigError>> {
        let read = load();
        let interval =
            read.as_ref().err().and_then(|error| self.retries.next_interval("configuration", error));
        self.again_at = interval.map(|interval| tokio::time::Instant::now() + interval);
        interval.is_none().then_some(read)
    }
}
