//! What becomes of a note between two relays, and the sockets that carry it. [`fates`] decides, without I/O; the shell
//! below it receives at one address for each relay and sends on from the sender's. It must never carry a note to
//! somebody else than it was sent to.

use std::collections::HashMap;
use std::net::{IpAddr, SocketAddr};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use tokio::net::UdpSocket;

use crate::clock::Clock;
use crate::scenario::{Scenario, What};

/// What becomes of one copy of a note.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Fate {
    /// It comes after so long, in milliseconds.
    pub after_ms: f64,
    /// One of its bytes is another.
    pub corrupt: bool,
}

/// What becomes of a note that is sent at `at_s`: nothing, or one copy or more.
pub fn fates(scenario: &Scenario, at_s: f64, from: usize, to: usize, rng: &mut SmallRng) -> Vec<Fate> {
    let mut delay = scenario.notes.delay_ms;
    let (mut copies, mut corrupt) = (1, false);
    for what in scenario.broken(at_s) {
        match what {
            What::Split { parts } if part_of(parts, from) != part_of(parts, to) => return vec![],
            What::Deaf { relays } if relays.contains(&to) => return vec![],
            What::Mute { relays } if relays.contains(&from) => return vec![],
            What::Loss { part } if rng.random_bool(*part) => return vec![],
            What::Late { ms } => delay = *ms,
            What::Twice { part } => copies += usize::from(rng.random_bool(*part)),
            What::Corrupt { part } => corrupt |= rng.random_bool(*part),
            _ => {}
        }
    }
    (0..copies).map(|_| Fate { after_ms: rng.random_range(delay[0]..=delay[1]), corrupt }).collect()
}

fn part_of(parts: &[usize], relay: usize) -> usize {
    let mut end = 0;
    parts.iter().take_while(|size| (end += **size, end <= relay).1).count()
}

/// What one relay sent over the fabric.
#[derive(Debug, Default)]
pub struct SenderCounts {
    /// Datagrams.
    pub messages: AtomicU64,
    /// Bytes of their payloads, without the headers of UDP and IP.
    pub bytes: AtomicU64,
}

/// What went over the fabric.
#[derive(Debug, Default)]
pub struct Counts {
    /// Notes sent.
    pub notes: AtomicU64,
    /// Their bytes.
    pub bytes: AtomicU64,
    /// Notes over 256 bytes: none may be.
    pub too_long: AtomicU64,
    /// What each relay sent, by its number.
    pub senders: Vec<SenderCounts>,
}

impl Counts {
    /// Counts of so many relays, all at zero.
    fn of(relays: usize) -> Self {
        Counts { senders: (0..relays).map(|_| SenderCounts::default()).collect(), ..Counts::default() }
    }

    fn sent(&self, from: usize, bytes: usize) {
        self.notes.fetch_add(1, Ordering::Relaxed);
        self.bytes.fetch_add(bytes as u64, Ordering::Relaxed);
        self.too_long.fetch_add(u64::from(bytes > MOST), Ordering::Relaxed);
        if let Some(sender) = self.senders.get(from) {
            sender.messages.fetch_add(1, Ordering::Relaxed);
            sender.bytes.fetch_add(bytes as u64, Ordering::Relaxed);
        }
    }
}

/// The most bytes of a note.
const MOST: usize = 256;

/// Carries notes until the runtime ends: relays send to `carriers`, and hear at `relays`.
///
/// # Errors
/// Where a socket is not to be had.
pub async fn start(
    scenario: Arc<Scenario>, seed: u64, clock: Clock, carriers: &[SocketAddr], relays: &[SocketAddr],
) -> std::io::Result<Arc<Counts>> {
    let counts = Arc::new(Counts::of(relays.len()));
    let by_address: HashMap<IpAddr, usize> = relays.iter().enumerate().map(|(n, at)| (at.ip(), n)).collect();
    let by_address = Arc::new(by_address);
    let mut sockets = Vec::new();
    for carrier in carriers {
        sockets.push(Arc::new(UdpSocket::bind(carrier).await?));
    }
    let rng = Arc::new(Mutex::new(SmallRng::seed_from_u64(seed)));
    for (to, (socket, hears)) in sockets.iter().zip(relays).enumerate() {
        let (socket, hears, sockets) = (socket.clone(), *hears, sockets.clone());
        let (scenario, clock, by_address) = (scenario.clone(), clock.clone(), by_address.clone());
        let (rng, counts) = (rng.clone(), counts.clone());
        tokio::spawn(async move {
            let mut buffer = [0; 2048];
            while let Ok((n, source)) = socket.recv_from(&mut buffer).await {
                let Some(from) = by_address.get(&source.ip()).copied() else { continue };
                counts.sent(from, n);
                let at_s = clock.now_s();
                let (fates, spoilt) = {
                    let mut rng = rng.lock().unwrap_or_else(PoisonError::into_inner);
                    (fates(&scenario, at_s, from, to, &mut rng), rng.random_range(0..n.max(1)))
                };
                for fate in fates {
                    let mut note = buffer.get(..n).unwrap_or_default().to_vec();
                    if let Some(byte) = note.get_mut(spoilt).filter(|_| fate.corrupt) {
                        *byte ^= 0x55;
                    }
                    let Some(out) = sockets.get(from).cloned() else { continue };
                    tokio::spawn(async move {
                        tokio::time::sleep(Duration::from_secs_f64(fate.after_ms / 1000.0)).await;
                        let _ = out.send_to(&note, hears).await;
                    });
                }
            }
        });
    }
    Ok(counts)
}

#[cfg(test)]
mod tests {
    use super::*;

    fn world(fault: &str) -> Scenario {
        let text = format!(
            "about = \"x\"\nrelays = 6\nseconds = 9\n[load]\nper_s = 5\n[[partner]]\nper_s = 4\n\
             [[fault]]\nfrom_s = 1\nto_s = 5\n{fault}\n"
        );
        Scenario::read(&text).expect("it makes sense")
    }

    fn comes(scenario: &Scenario, at_s: f64, from: usize, to: usize) -> usize {
        fates(scenario, at_s, from, to, &mut SmallRng::seed_from_u64(1)).len()
    }

    #[test]
    fn a_split_cuts_what_lies_between_its_parts_for_its_time() {
        let split = world("kind = \"split\"\nparts = [1, 2, 3]");
        for (from, to) in [(0, 1), (1, 0), (2, 3), (5, 0)] {
            assert_eq!(comes(&split, 2.0, from, to), 0, "{from} to {to}");
            assert_eq!(comes(&split, 0.5, from, to) + comes(&split, 5.0, from, to), 2, "before and after");
        }
        for (from, to) in [(1, 2), (3, 5), (5, 4)] {
            assert_eq!(comes(&split, 2.0, from, to), 1, "{from} to {to}");
        }
    }

    #[test]
    fn who_is_deaf_is_heard_and_who_is_mute_hears() {
        let deaf = world("kind = \"deaf\"\nrelays = {start = 0, end = 2}");
        assert_eq!((comes(&deaf, 2.0, 0, 5), comes(&deaf, 2.0, 5, 0)), (1, 0));
        let mute = world("kind = \"mute\"\nrelays = {start = 0, end = 2}");
        assert_eq!((comes(&mute, 2.0, 0, 5), comes(&mute, 2.0, 5, 0)), (0, 1));
    }

    #[test]
    fn what_flaps_is_there_every_other_turn() {
        let flaps = world("flap_s = 0.5\nkind = \"loss\"\npart = 1.0");
        let came: Vec<usize> = (2..12).map(|half| comes(&flaps, f64::from(half) * 0.5 + 0.1, 0, 1)).collect();
        assert_eq!(came, [0, 1, 0, 1, 0, 1, 0, 1, 1, 1]);
    }
}
