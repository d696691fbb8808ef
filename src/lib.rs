//! Decision logic of a relay that forwards messages to destinations outside its control: when and to which endpoint a
//! message is sent, with which time-out, whether it is retried, and when it is given up.
//!
//! The decision module does no I/O and reads no clock. Its caller passes in events with the current time and carries
//! out the returned actions; see [`rules::Relay`] for the module and [`interface`] for the types. [`wire`] is the
//! protocol of the simulator's adapter and is not needed to embed the library.
//!
//! # Embedding
//!
//! ```
//! use tulipfall::interface::*;
//! use tulipfall::rules::Relay;
//!
//! const SECOND: Micros = 1_000_000;
//! let settings = Settings {
//!     classes: vec![Class {
//!         value: 1.0,
//!         aim: 2 * SECOND,
//!         deadline: 20 * SECOND,
//!         late_fraction: 0.4,
//!         effect: Effect::Idempotent,
//!         in_order: false,
//!     }],
//!     kinds: vec![Kind { separate_routes: false, max_batch: 1 }],
//!     tenants: vec![],
//!     over_quota_fraction: 1.0,
//!     late_decay: LateDecay::Linear,
//!     slots: 8,
//!     max_held: 100,
//!     max_attempts: 6,
//!     senders: 2,
//!     connect_timeout: SECOND,
//!     idle_timeout: 5 * SECOND,
//!     max_retry_after: Some(3 * SECOND),
//!     probes: false,
//!     cancel: true,
//!     listed_rates: true,
//!     coordinators: false,
//!     retry_budget: false,
//!     shares: false,
//!     list_request_interval: None,
//!     zone_fee: vec![],
//!     rules: RuleParameters {
//!         cold_capacity_fraction: 0.2,
//!         warm_up: 10 * SECOND,
//!         overload_multiple: 2.5,
//!         overload_window: 2 * SECOND,
//!         drain_grace: 2 * SECOND,
//!         settle_time: 0,
//!     },
//! };
//! let mut relay = Relay::new(settings, 1)?;
//! let mut actions = Vec::new();
//!
//! // The list holds one endpoint of destination 7, which accepts 4 calls per second from all senders together.
//! let entry = EndpointEntry {
//!     target: TargetId(0),
//!     destination: DestinationId(7),
//!     kind: 0,
//!     zone: 0,
//!     state: ServiceState::InService,
//!     rate: 4.0,
//! };
//! relay.handle(0, Event::EndpointList(ListUpdate::Full, vec![entry]), &mut actions);
//!
//! // A message arrives and is sent at once. Timers and outcomes are passed in the same way.
//! let message = Arrival {
//!     id: MessageId(1),
//!     class: 0,
//!     tenant: None,
//!     key: None,
//!     due: 20 * SECOND,
//!     destination: DestinationId(7),
//! };
//! relay.handle(0, Event::Arrival(message), &mut actions);
//! let sent = actions.iter().any(|action| matches!(action, Action::Send { id: MessageId(1), .. }));
//! assert!(sent);
//! # Ok::<(), SettingsError>(())
//! ```
#![forbid(unsafe_code)]

pub mod as2;
pub mod classes;
pub mod clock;
pub mod config;
pub mod estimate;
pub mod exchange;
pub mod fleet;
pub mod handed;
pub mod handover;
pub mod input;
pub mod interface;
pub mod jitter;
pub mod net;
mod pacing;
pub mod rate;
pub mod recording;
pub mod retry;
pub mod rules;
pub mod runtime;
pub mod standing;
mod state;
pub mod store;
pub mod wire;
