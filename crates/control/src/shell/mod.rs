//! The process around a [`crate::Machine`]: its file, its disk, its sockets and its clock.

pub mod admin;
mod clock;
pub mod config;
mod config_file;
mod consensus_link;
pub mod daemon;
pub mod disk;
pub mod frame;
