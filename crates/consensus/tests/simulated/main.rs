//! The consensus of six machines on a simulated network with simulated disks.

mod cluster;
mod crashes;
mod network;
