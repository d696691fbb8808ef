//! Takeover of one process of a relay by another while the first still runs, without messages that are lost, sent twice, refused
//! or reset.
//!
//! `steps` determines the order of steps, `crate::handed` is the state that is passed on, `link` the wire format, and `old` and
//! `new` are the two sides. A handover takes place only where the clients' listening socket is inherited. Nothing here decides
//! what becomes of a message.

pub mod link;
pub mod new;
pub mod old;
pub mod steps;

use crate::interface::Micros;

/// Time after which a silent side counts as lost in the middle of the steps, in microseconds.
pub const STEP_TIMEOUT: Micros = 500_000;
/// Version that both processes must agree on: the messages of the link and the meaning of the state. Added fields have defaults
/// and need no new version.
pub const PROTOCOL_VERSION: u32 = 1;
