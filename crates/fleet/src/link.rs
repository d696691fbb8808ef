//! The transport between relays: opens datagrams and dispatches their frames to channels, and packs what channels send
//! into datagrams under one byte budget.
//!
//! It owns sequence numbers, replay and flood protection, and the membership. No datagram exceeds 256 bytes, and
//! invalid frames of one channel never affect another.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::keys::Keys;
use crate::lateness::Lateness;
use crate::members::{Members, Reaction, Standing};
use crate::note::{self, FRAME, Head, MOST, NoteError, Replay, Stamp};
use crate::updates::Update;
use crate::{Micros, Peer, SECOND};

/// Number of the link's own channel: membership.
const MEMBERS: u8 = 0;
/// A datagram that was delayed for longer than this has no effect, in microseconds.
const TOO_LATE: Micros = 30 * SECOND;
/// Time for which unused budget accumulates, in microseconds.
const SAVED: Micros = SECOND / 2;
/// Interval between checks of the membership, in microseconds.
const LOOK: Micros = SECOND / 2;
/// Maximum number of datagrams accepted from one sender in a second: ten times what the busiest steward sends to one
/// relay.
const FLOOD: u32 = 2000;
/// Maximum number of the link's own messages that wait to be sent.
const MOST_SHORT: usize = 512;
/// Maximum number of membership updates that go with the link's own messages to one peer.
const UPDATES_AT_ONCE: usize = 16;

/// Configuration of a link.
#[derive(Clone, Debug)]
pub struct Config {
    /// This relay's number.
    pub me: Peer,
    /// Its incarnation, which grows from one start to the next.
    pub incarnation: u32,
    /// All relays of the fleet.
    pub peers: Vec<Peer>,
    /// Keys that authenticate datagrams.
    pub keys: Keys,
    /// Limit for all channels with a budget together, in bytes per second.
    pub bytes_per_s: u32,
    /// Whether silent peers are pinged.
    pub asks: bool,
}

/// The sender of a frame.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Sender {
    /// The relay.
    pub peer: Peer,
    /// Its incarnation.
    pub incarnation: u32,
    /// When the datagram was sent, by the sender's clock.
    pub sent: Stamp,
    /// Estimated delay of the datagram, in microseconds.
    pub late: Micros,
}

/// A frame for a peer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Said {
    /// The recipient.
    pub to: Peer,
    /// Its content, in the channel's own encoding.
    pub bytes: Vec<u8>,
}

/// A protocol between relays on the link. Channels are polled in their order, the most urgent one first.
pub trait Channel {
    /// The channel's number on the wire, not 0.
    fn id(&self) -> u8;

    /// Whether the link's byte budget applies. A channel that it does not bind has limits of its own.
    fn bound(&self) -> bool {
        true
    }

    /// Receives a frame. Returns whether all of it was valid.
    fn hear(&mut self, now: Micros, from: &Sender, members: &Members, bytes: &[u8]) -> bool;

    /// Returns the frames to send now, of at most `room` bytes each and `allowance` bytes in total.
    fn say(&mut self, now: Micros, members: &Members, room: usize, allowance: usize) -> Vec<Said>;

    /// When the channel next has something to send.
    fn next_at(&self, now: Micros) -> Micros;
}

/// A datagram to send.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Out {
    /// The recipient.
    pub to: Peer,
    /// The encoded datagram.
    pub bytes: Vec<u8>,
}

/// Counters of a link.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    /// Datagrams sent.
    pub sent: u64,
    /// Bytes in them.
    pub bytes: u64,
    /// Datagrams accepted.
    pub taken: u64,
    /// Datagrams without effect, by reason.
    pub ignored: BTreeMap<NoteError, u64>,
    /// Frames skipped: those of an unknown channel, and invalid ones.
    pub skipped: u64,
}

impl Counts {
    /// Number of datagrams without effect, for any reason.
    pub fn ignored(&self) -> u64 {
        self.ignored.values().sum()
    }
}

/// A message of the link's own channel.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
enum Word {
    /// Asks whether the recipient is alive.
    Ping,
    /// Answers a ping, or a report that the sender refutes.
    Pong,
    /// Reports the state of a peer.
    Member { peer: Peer, incarnation: u32, standing: Standing },
}

impl From<Update> for Word {
    fn from(Update { peer, incarnation, standing }: Update) -> Self {
        Word::Member { peer, incarnation, standing }
    }
}

/// What is kept for one sender.
#[derive(Clone, Copy, Debug, Default)]
struct Line {
    replay: Replay,
    lateness: Lateness,
    second: Micros,
    in_second: u32,
}

/// Frames of one datagram, with their channels.
type Frames = Vec<(u8, Vec<u8>)>;

/// A relay's end of the link.
#[derive(Debug)]
pub struct Link {
    config: Config,
    members: Members,
    lines: BTreeMap<Peer, Line>,
    number: u32,
    short: Vec<(Peer, Word)>,
    /// Peers to which updates go at the next poll, beside those that are sent something anyway.
    updates_to: Vec<Peer>,
    tokens: f64,
    tokens_at: Micros,
    look_at: Micros,
    /// Whether the budget held back frames at the last poll.
    held_back: bool,
    counts: Counts,
}

impl Link {
    /// Creates a link at the present time.
    pub fn new(config: Config, now: Micros) -> Self {
        let members = Members::new(config.me, config.incarnation, config.peers.iter().copied());
        Link {
            members,
            lines: BTreeMap::new(),
            number: 0,
            short: Vec::new(),
            updates_to: Vec::new(),
            tokens: 2.0 * MOST as f64,
            tokens_at: now,
            look_at: now,
            held_back: false,
            counts: Counts::default(),
            config,
        }
    }

    /// The membership.
    pub fn members(&self) -> &Members {
        &self.members
    }

    /// The counters.
    pub fn counts(&self) -> &Counts {
        &self.counts
    }

    /// The keys that authenticate datagrams.
    pub fn keys(&self) -> &Keys {
        &self.config.keys
    }

    /// Replaces the list of peers, as on a reload. The state of those that stay is kept.
    pub fn replace(&mut self, peers: Vec<Peer>) {
        self.members.replace(peers.iter().copied());
        let members = &self.members;
        self.lines.retain(|peer, _| members.has(*peer));
    }

    /// Receives a datagram and dispatches its frames to the channels.
    ///
    /// # Errors
    /// Why it has no effect; it is only counted.
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
        if let Some(standing) = self.members.heard(now, head.from, head.incarnation) {
            let word = Word::Member { peer: head.from, incarnation: head.incarnation, standing };
            self.queue(head.from, word);
        }
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
            match word {
                Word::Ping => self.queue(from, Word::Pong),
                Word::Pong => {}
                Word::Member { peer, incarnation, standing } => {
                    match self.members.told(now, peer, incarnation, standing) {
                        Reaction::None => {}
                        Reaction::Refute => self.refute(from),
                        Reaction::Warn => self.queue(peer, word),
                    }
                }
            }
        }
        true
    }

    /// Answers a wrong report on this relay, and passes the refutation on at once: the others are about to believe it.
    fn refute(&mut self, from: Peer) {
        self.queue(from, Word::Pong);
        let receivers = self.members.urgent();
        self.updates_to.extend(receivers);
    }

    /// Queues a message; one that waits for the same peer already says it.
    fn queue(&mut self, to: Peer, word: Word) {
        if self.short.len() < MOST_SHORT && !self.short.contains(&(to, word)) {
            self.short.push((to, word));
        }
    }

    /// Returns the datagrams to send now: the link's own messages, then those of each channel in their order.
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
        said.extend(self.own_frames());
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
        // Channels without a budget go first and the others make up for it, but within a limit.
        self.tokens = (self.tokens - out.iter().map(|out| out.bytes.len() as f64).sum::<f64>()).max(-most);
        out
    }

    /// Pings silent peers, and passes membership updates on. A suspect peer is told of the suspicion, so that it can refute
    /// it.
    fn look(&mut self, now: Micros) {
        let round = self.members.check(now);
        for peer in round.pings {
            if let Some((incarnation, standing)) = self.members.doubted(peer) {
                self.queue(peer, Word::Member { peer, incarnation, standing });
            }
            self.queue(peer, Word::Ping);
        }
        self.updates_to.extend(round.updates_to);
    }

    /// The link's own messages, one frame for each recipient, with membership updates for as long as there are any.
    fn own_frames(&mut self) -> Vec<(Peer, u8, Vec<u8>)> {
        let mut words: BTreeMap<Peer, Vec<Word>> = BTreeMap::new();
        for (to, word) in std::mem::take(&mut self.short) {
            words.entry(to).or_default().push(word);
        }
        for to in std::mem::take(&mut self.updates_to) {
            words.entry(to).or_default();
        }
        let mut frames = Vec::new();
        for (to, mut words) in words {
            if self.config.asks {
                words.extend(self.members.take_updates(UPDATES_AT_ONCE).into_iter().map(Word::from));
            }
            let bytes: Vec<u8> =
                words.iter().filter_map(|word| postcard::to_allocvec(word).ok()).flatten().collect();
            if !bytes.is_empty() {
                frames.push((to, MEMBERS, bytes));
            }
        }
        frames
    }

    /// Packs frames into as few datagrams as they fit in, in their order.
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

    /// When [`Link::poll`] next has something to do.
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
