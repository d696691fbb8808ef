//! The link: opens what comes and hands each frame to its channel, packs what channels say into notes, and keeps one
//! budget of bytes for all. Owns numbers, the guard against replays and floods, and who is there. It must never send a
//! note over 256 bytes, nor let a channel's nonsense reach another.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::keys::Keys;
use crate::lateness::Lateness;
use crate::members::{Members, Standing};
use crate::note::{self, FRAME, Head, MOST, NoteError, Replay, Stamp};
use crate::{Micros, Peer, SECOND};

/// The link's own channel: who is there.
const MEMBERS: u8 = 0;
/// A note that is later than this says nothing.
const TOO_LATE: Micros = 30 * SECOND;
/// The budget may be saved up for so long.
const SAVED: Micros = SECOND / 2;
/// Who is there is looked at so often.
const LOOK: Micros = SECOND / 2;
/// Notes of one sender in a second at the most: ten times what the busiest steward sends to one relay.
const FLOOD: u32 = 2000;
/// Answers that wait to be sent at the most.
const MOST_SHORT: usize = 512;

/// What a link is given.
#[derive(Clone, Debug)]
pub struct Config {
    /// This relay's number.
    pub me: Peer,
    /// Its start, a number that grows from one start to the next.
    pub incarnation: u32,
    /// All relays of the fleet.
    pub peers: Vec<Peer>,
    /// By which notes are signed.
    pub keys: Keys,
    /// Bytes a second that channels with a budget may send together.
    pub bytes_per_s: u32,
    /// Whether it asks who says nothing if it is there.
    pub asks: bool,
}

/// Who says something.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Sender {
    /// The relay.
    pub peer: Peer,
    /// Its start.
    pub incarnation: u32,
    /// When it said so, by its clock.
    pub sent: Stamp,
    /// How old that is.
    pub late: Micros,
}

/// Something to say to a peer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Said {
    /// To whom.
    pub to: Peer,
    /// What, in the channel's own form.
    pub bytes: Vec<u8>,
}

/// What relays tell each other of one matter. Channels are asked in their order; the first says most urgently.
pub trait Channel {
    /// Its number on the wire, not 0.
    fn id(&self) -> u8;

    /// Whether the link's budget binds it. One that is not bound keeps within limits of its own.
    fn bound(&self) -> bool {
        true
    }

    /// A peer says something; whether all of it made sense.
    fn hear(&mut self, now: Micros, from: &Sender, members: &Members, bytes: &[u8]) -> bool;

    /// What it has to say now, in pieces of at most `room` bytes each and `allowance` bytes together.
    fn say(&mut self, now: Micros, members: &Members, room: usize, allowance: usize) -> Vec<Said>;

    /// When it has something to say next.
    fn next_at(&self, now: Micros) -> Micros;
}

/// A datagram to send.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Out {
    /// To whom.
    pub to: Peer,
    /// Its bytes.
    pub bytes: Vec<u8>,
}

/// What was counted.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    /// Notes sent, and their bytes.
    pub sent: u64,
    /// See `sent`.
    pub bytes: u64,
    /// Notes taken.
    pub taken: u64,
    /// Notes that had no effect, by reason.
    pub ignored: BTreeMap<NoteError, u64>,
    /// Frames that were skipped: of a channel that is not known, or that made no sense.
    pub skipped: u64,
}

impl Counts {
    /// Notes that had no effect, whatever the reason.
    pub fn ignored(&self) -> u64 {
        self.ignored.values().sum()
    }
}

/// What the link itself says.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
enum Word {
    /// Are you there?
    Ping,
    /// I am.
    Pong,
    /// This is where a peer stands.
    Member { peer: Peer, incarnation: u32, standing: Standing },
}

#[derive(Clone, Copy, Debug, Default)]
struct Line {
    replay: Replay,
    lateness: Lateness,
    second: Micros,
    in_second: u32,
}

/// Frames of one note, by channel.
type Frames = Vec<(u8, Vec<u8>)>;

/// A relay's end of the link.
#[derive(Debug)]
pub struct Link {
    config: Config,
    members: Members,
    lines: BTreeMap<Peer, Line>,
    number: u32,
    short: Vec<(Peer, Word)>,
    tokens: f64,
    tokens_at: Micros,
    look_at: Micros,
    /// A channel with a budget had more to say than it allowed.
    held_back: bool,
    counts: Counts,
}

impl Link {
    /// A link that opens now.
    pub fn new(config: Config, now: Micros) -> Self {
        let members = Members::new(config.me, config.incarnation, config.peers.iter().copied());
        Link {
            members,
            lines: BTreeMap::new(),
            number: 0,
            short: Vec::new(),
            tokens: 2.0 * MOST as f64,
            tokens_at: now,
            look_at: now,
            held_back: false,
            counts: Counts::default(),
            config,
        }
    }

    /// Who is there.
    pub fn members(&self) -> &Members {
        &self.members
    }

    /// What was counted.
    pub fn counts(&self) -> &Counts {
        &self.counts
    }

    /// The keys that it goes by.
    pub fn keys(&self) -> &Keys {
        &self.config.keys
    }

    /// Another set of peers, as on a reload; what is known of those that stay is kept.
    pub fn replace(&mut self, peers: Vec<Peer>) {
        self.members.replace(peers.iter().copied());
        let members = &self.members;
        self.lines.retain(|peer, _| members.has(*peer));
    }

    /// Takes a datagram, and hands what it says to the channels.
    ///
    /// # Errors
    /// Why it has no effect; it is counted and nothing else.
    pub fn receive(
        &mut self, now: Micros, bytes: &[u8], channels: &mut [&mut dyn Channel],
    ) -> Result<(), NoteError> {
        let taken = self.take(now, bytes, channels);
        match taken {
            Ok(()) => self.counts.taken += 1,
            Err(why) => *self.counts.ignored.entry(why).or_default() += 1,
        }
        taken
    }

    fn take(
        &mut self, now: Micros, bytes: &[u8], channels: &mut [&mut dyn Channel],
    ) -> Result<(), NoteError> {
        let (head, frames) = note::open(&self.config.keys, bytes)?;
        if head.from == self.config.me || !self.members.has(head.from) {
            return Err(NoteError::Stranger);
        }
        let line = self.lines.entry(head.from).or_default();
        let second = now.div_euclid(SECOND);
        if line.second != second {
            (line.second, line.in_second) = (second, 0);
        }
        line.in_second += 1;
        if line.in_second > FLOOD {
            return Err(NoteError::Flood);
        }
        line.replay.take(head.incarnation, head.number)?;
        let late = line.lateness.came(now, head.sent);
        if late > TOO_LATE {
            return Err(NoteError::TooLate);
        }
        self.members.heard(now, head.from, head.incarnation);
        let from = Sender { peer: head.from, incarnation: head.incarnation, sent: head.sent, late };
        for (id, frame) in frames {
            let made_sense = match channels.iter_mut().find(|channel| channel.id() == id) {
                Some(channel) => channel.hear(now, &from, &self.members, frame),
                None if id == MEMBERS => self.hear(now, head.from, frame),
                None => false,
            };
            self.counts.skipped += u64::from(!made_sense);
        }
        Ok(())
    }

    fn hear(&mut self, now: Micros, from: Peer, mut bytes: &[u8]) -> bool {
        while !bytes.is_empty() {
            let Ok((word, rest)) = postcard::take_from_bytes::<Word>(bytes) else { return false };
            bytes = rest;
            let answer = match word {
                Word::Ping => true,
                Word::Pong => false,
                Word::Member { peer, incarnation, standing } => {
                    self.members.told(now, peer, incarnation, standing)
                }
            };
            if answer && self.short.len() < MOST_SHORT {
                self.short.push((from, Word::Pong));
            }
        }
        true
    }

    /// Datagrams to send now: what the link itself says, then each channel's in their order.
    pub fn poll(&mut self, now: Micros, channels: &mut [&mut dyn Channel]) -> Vec<Out> {
        let rate = f64::from(self.config.bytes_per_s);
        let most = (rate * SAVED as f64 / SECOND as f64).max(2.0 * MOST as f64);
        let passed = (now - self.tokens_at).max(0) as f64 / SECOND as f64;
        (self.tokens, self.tokens_at) = ((self.tokens + rate * passed).min(most), now.max(self.tokens_at));
        if now >= self.look_at {
            self.look_at = now + LOOK;
            if self.config.asks {
                self.look(now);
            }
        }
        let mut said: Vec<(Peer, u8, Vec<u8>)> = Vec::new();
        for (to, word) in std::mem::take(&mut self.short) {
            said.extend(postcard::to_allocvec(&word).ok().map(|bytes| (to, MEMBERS, bytes)));
        }
        let room = note::room(&self.config.keys) - FRAME;
        self.held_back = false;
        let mut spent = said.iter().map(|(_, _, bytes)| bytes.len() + FRAME).sum::<usize>();
        for channel in channels.iter_mut() {
            let left = (self.tokens - spent as f64).max(0.0) as usize;
            let allowance = if channel.bound() { left } else { usize::MAX };
            let says = channel.say(now, &self.members, room, allowance);
            self.held_back |= channel.bound() && channel.next_at(now) <= now;
            spent += says.iter().map(|said| said.bytes.len() + FRAME).sum::<usize>();
            said.extend(says.into_iter().map(|said| (said.to, channel.id(), said.bytes)));
        }
        let out = self.pack(now, said);
        // What a channel that is not bound sends comes first, and the others wait for it; but not for ever.
        self.tokens = (self.tokens - out.iter().map(|out| out.bytes.len() as f64).sum::<f64>()).max(-most);
        out
    }

    /// Asks who says nothing. One that is doubted hears of it, so that it can say otherwise.
    fn look(&mut self, now: Micros) {
        for peer in self.members.ask(now) {
            if let Some((incarnation, standing)) = self.members.doubted(peer) {
                self.short.push((peer, Word::Member { peer, incarnation, standing }));
            }
            self.short.push((peer, Word::Ping));
        }
    }

    /// Puts frames into notes, as many to one as it has room for.
    fn pack(&mut self, now: Micros, said: Vec<(Peer, u8, Vec<u8>)>) -> Vec<Out> {
        let mut by_peer: BTreeMap<Peer, Vec<Frames>> = BTreeMap::new();
        let room = note::room(&self.config.keys);
        let size = |frames: &[(u8, Vec<u8>)]| frames.iter().map(|(_, b)| b.len() + FRAME).sum::<usize>();
        for (to, channel, bytes) in said {
            let notes = by_peer.entry(to).or_default();
            match notes.last_mut().filter(|frames| size(frames) + bytes.len() + FRAME <= room) {
                Some(frames) => frames.push((channel, bytes)),
                None => notes.push(vec![(channel, bytes)]),
            }
        }
        let mut out = Vec::new();
        for (to, notes) in by_peer {
            for frames in notes {
                self.number += 1;
                let (from, incarnation) = (self.config.me, self.members.incarnation());
                let head = Head { from, incarnation, number: self.number, sent: Stamp::of(now) };
                let Some(bytes) = note::seal(&self.config.keys, &head, &frames) else { continue };
                self.counts.sent += 1;
                self.counts.bytes += bytes.len() as u64;
                out.push(Out { to, bytes });
            }
        }
        out
    }

    /// When [`Link::poll`] has something to do next.
    pub fn next_at(&self, now: Micros, channels: &[&mut dyn Channel]) -> Micros {
        let missing = (MOST as f64 - self.tokens).max(0.0);
        let full = missing / f64::from(self.config.bytes_per_s.max(1)) * SECOND as f64;
        let affordable = self.tokens_at + full.ceil() as Micros;
        let mut at = if self.config.asks { self.look_at } else { Micros::MAX };
        if !self.short.is_empty() {
            at = now;
        }
        for channel in channels {
            let next = channel.next_at(now);
            at = at.min(if channel.bound() && self.held_back { next.max(affordable) } else { next });
        }
        at.max(now)
    }
}
