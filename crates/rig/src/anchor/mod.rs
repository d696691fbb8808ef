//! Anchors: what control costs in real processes, beside what the hollow relays of the crate `scale` say at the same
//! sizes.
//!
//! [`plan`] is what is to be measured, [`run`] one fleet that is measured while idle and under load, [`process_usage`]
//! and [`socket_drops`] what the system tells of it, [`measurement`] the records, [`comparison`] the join with those of
//! the hollow relays, [`table`] how both are shown.

pub mod comparison;
pub mod measurement;
pub mod plan;
pub mod process_usage;
pub mod run;
pub mod socket_drops;
pub mod table;
