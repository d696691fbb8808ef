//! Datagrams that the system dropped because a socket's buffer was full, from `/proc/net/udp`. Where the fabric lost any,
//! its counts are not exact.

use std::collections::HashSet;
use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4};

use anyhow::{Context, Result};

/// Where the system lists its UDP sockets.
const SOCKETS_FILE: &str = "/proc/net/udp";
/// The column with the local address, counted from 0.
const LOCAL_ADDRESS_COLUMN: usize = 1;

/// Datagrams that sockets at these addresses lost since they were opened.
///
/// # Errors
/// Where the system's list cannot be read.
pub fn read(addresses: &[SocketAddr]) -> Result<u64> {
    let text = std::fs::read_to_string(SOCKETS_FILE).context(SOCKETS_FILE)?;
    let addresses: HashSet<SocketAddr> = addresses.iter().copied().collect();
    Ok(dropped(&text, &addresses))
}

/// The same from the text of `/proc/net/udp`: the last column of the lines with these local addresses.
pub fn dropped(text: &str, addresses: &HashSet<SocketAddr>) -> u64 {
    let sockets = text.lines().skip(1).filter_map(socket);
    sockets.filter(|(address, _)| addresses.contains(address)).map(|(_, drops)| drops).sum()
}

/// A socket's local address and drops.
fn socket(line: &str) -> Option<(SocketAddr, u64)> {
    let columns: Vec<&str> = line.split_whitespace().collect();
    let (host, port) = columns.get(LOCAL_ADDRESS_COLUMN)?.split_once(':')?;
    // The system prints the address as it lies in memory, read as a number of this machine.
    let host = Ipv4Addr::from(u32::from_str_radix(host, 16).ok()?.to_ne_bytes());
    let port = u16::from_str_radix(port, 16).ok()?;
    let drops = columns.last()?.parse().ok()?;
    Some((SocketAddrV4::new(host, port).into(), drops))
}
