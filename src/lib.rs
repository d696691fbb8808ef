//! tulipfall decides for a relay that hands messages on to destinations nobody here controls: when a message
//! is sent, where to, for how long it is waited for, whether it is tried again, and when it is given up.
//!
//! The module does no I/O and reads no clock. A forwarder hands it events with its own time and carries out
//! the actions that come back; see [`rules::Relay`] for the module and [`interface`] for the types. [`wire`]
//! serves the simulator's adapter and is not needed to embed the library.
//!
//! # Embedding it
//!
//! ```
//! use tulipfall::interface::*;
//! use tulipfall::rules::Relay;
//!
//! const SECOND: Micros = 1_000_000;
//! let settings = Settings {
//!     classes: vec![Class {
//!         worth: 1.0,
//!         aim: 2 * SECOND,
//!         deadline: 20 * SECOND,
//!         late_worth: 0.4,
//!         effect: Effect::Safe,
//!         in_order: false,
//!     }],
//!     kinds: vec![Kind { apart: false, batch: 1 }],
//!     tenants: vec![],
//!     over_share_worth: 1.0,
//!     late: LateForm::Even,
//!     slots: 8,
//!     max_held: 100,
//!     max_attempts: 6,
//!     senders: 2,
//!     connect_timeout: SECOND,
//!     connection_idle: 5 * SECOND,
//!     longest_advice: Some(3 * SECOND),
//!     probes: false,
//!     cancel: true,
//!     listed_rates: true,
//!     stewards: false,
//!     repeats: false,
//!     shares: false,
//!     ask_every: None,
//!     zone_fee: vec![],
//!     rules: RuleFigures {
//!         cold_from: 0.2,
//!         cold: 10 * SECOND,
//!         fall_multiple: 2.5,
//!         fall_window: 2 * SECOND,
//!         drain_grace: 2 * SECOND,
//!         settle: 0,
//!     },
//! };
//! let mut relay = Relay::new(settings, 1)?;
//! let mut actions = Vec::new();
//!
//! // The list names one endpoint of destination 7, which takes 4 calls a second from all senders.
//! let entry = Entry {
//!     target: TargetId(0),
//!     destination: DestinationId(7),
//!     kind: 0,
//!     zone: 0,
//!     listed: Listed::InService,
//!     rate: 4.0,
//! };
//! relay.handle(0, Event::List(ListForm::All, vec![entry]), &mut actions);
//!
//! // A message comes in and is sent at once. Timers and outcomes are fed back in the same way.
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
pub mod draw;
pub mod estimate;
pub mod exchange;
pub mod fleet;
pub mod handed;
pub mod handover;
pub mod input;
pub mod interface;
pub mod net;
mod pacing;
pub mod recording;
pub mod retry;
pub mod rules;
pub mod runtime;
pub mod standing;
mod state;
pub mod store;
pub mod wire;
