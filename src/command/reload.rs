//! Reloading the configuration while the relay serves: applying the changes, and retrying while the file cannot be read.

use std::net::SocketAddr;
use std::sync::Arc;

use tokio::sync::{mpsc, watch};
use tracing::{info, warn};

use tulipfall::config::{Config, ConfigError};
use tulipfall::input::{Input, ReloadedSettings};
use tulipfall::retry::RetryBackoff;

/// The addresses of discovery and of non-delivery reports, as text.
pub fn addresses(config: &Config) -> [Option<Arc<str>>; 2] {
    [config.discovery, config.notices].map(|address| address.map(|address| address.to_string().into()))
}

/// Applies a new configuration to the running tasks.
pub struct Reload {
    /// The configuration at the start of the process, against which settings that need a restart are compared.
    pub start: Config,
    /// The settings applied last.
    pub last_applied: Option<ReloadedSettings>,
    /// Current addresses of discovery and of non-delivery reports.
    pub addresses: [watch::Sender<Option<Arc<str>>>; 2],
    /// Current addresses of all relays.
    pub relays: watch::Sender<Vec<SocketAddr>>,
    /// Inputs of the runtime.
    pub inputs: mpsc::Sender<Input>,
}

impl Reload {
    /// Applies a new configuration. One that cannot be used changes nothing.
    pub fn apply(&mut self, new: Result<Config, ConfigError>) {
        let new = match new.and_then(|new| new.whole_beside(&self.start).map(|()| new)) {
            Ok(new) => new,
            Err(error) => {
                return warn!("the configuration cannot be used, the old one stays: {error}");
            }
        };
        // Settings for new messages and attempts are applied first, then addresses.
        let retuned = new.retuned(&self.start);
        if self.last_applied.as_ref().unwrap_or(&self.start.retuned(&self.start)) != &retuned {
            // Sent from another task: this one also drives the runtime, which has to receive the input.
            let (inputs, retuned) = (self.inputs.clone(), Box::new(retuned.clone()));
            tokio::spawn(async move { inputs.send(Input::SettingsReloaded(retuned)).await });
        }
        self.last_applied = Some(retuned);
        for (address, to) in addresses(&new).into_iter().zip(&self.addresses) {
            to.send_if_modified(|old| std::mem::replace(old, address.clone()) != address);
        }
        if let Some(fleet) = &new.fleet {
            self.relays.send_if_modified(|old| std::mem::replace(old, fleet.all.clone()) != fleet.all);
        }
        let restart_keys = self.start.need_a_start(&new);
        let restart_keys = if restart_keys.is_empty() {
            String::new()
        } else {
            format!("; needs a restart: {}", restart_keys.join(", "))
        };
        info!("configuration read again{restart_keys}");
    }
}

/// Retries of one reload: a file that is temporarily unreadable is read again, while the relay serves.
#[derive(Default)]
pub struct ReloadRetry {
    retries: RetryBackoff,
    retry_at: Option<tokio::time::Instant>,
}

impl ReloadRetry {
    /// Waits until the next retry is due; forever if there is none.
    pub async fn due(&self) {
        match self.retry_at {
            Some(at) => tokio::time::sleep_until(at).await,
            None => std::future::pending().await,
        }
    }

    /// Reads the file once. `None` if it will be retried.
    pub fn read(
        &mut self, load: impl FnOnce() -> Result<Config, ConfigError>,
    ) -> Option<Result<Config, ConfigError>> {
        let read = load();
        let interval =
            read.as_ref().err().and_then(|error| self.retries.next_interval("configuration", error));
        self.retry_at = interval.map(|interval| tokio::time::Instant::now() + interval);
        interval.is_none().then_some(read)
    }
}
