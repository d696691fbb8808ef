//! Starts many relays as processes on loopback, breaks what is between them by a script, and audits them from outside.
//!
//! [`scenario`] is what is to be played, [`fabric`] what becomes of a note between two relays, [`partner`] and [`agent`]
//! the stand-ins of partners and of discovery, [`fleet`] the processes, [`load`] the clients, [`front`] what sends them
//! to a relay that is ready, [`clock`] the time of all of them, [`audit`] the findings, [`oracle`] what a relay with
//! perfect knowledge would serve, [`resources`] what a fleet takes of the machine, [`stage`] what is set up before a
//! play, [`play`] one play of all of it, [`report`] its plots, [`anchor`] the cost of control in real processes.
//!
//! It must never look into a relay: what is not seen on a socket, or told of a process by the system, does not count. It
//! speaks to 127.0.0.0/8 alone.

pub mod agent;
pub mod anchor;
pub mod audit;
pub mod clock;
pub mod fabric;
pub mod fleet;
pub mod front;
pub mod http;
pub mod load;
pub mod oracle;
pub mod partner;
pub mod play;
pub mod report;
pub mod resources;
pub mod scenario;
pub mod soak;
pub mod stage;
