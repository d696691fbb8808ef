//! The transport between relays: opens datagrams and dispatches their frames to channels, and packs what channels send
//! into datagrams under one byte budget.
//!
//! It owns sequence numbers, replay and flood protection, and the membership. No datagram exceeds 256 bytes, and
//! invalid frames of one channel never affect another.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::datagram::{
    self, DatagramError, FRAME_OVERHEAD_BYTES, Header, MAX_DATAGRAM_BYTES, ReplayWindow, Stamp,
};
use crate::delay::DelayEstimator;
use crate::keys::Keys;
use crate::members::{MemberState, Members, Reaction};
use crate::updates::Update;
use crate::{Micros, Peer, SECOND};

/// Number of the membership channel, which is the link's own.
const MEMBERSHIP_CHANNEL: u8 = 0;
/// A datagram that was delayed for longer than this has no effect, in microseconds.
const MAX_DELAY: Micros = 30 * SECOND;
/// Time over which unused budget accumulates, in microseconds.
const BUDGET_ACCUMULATION: Micros = SECOND / 2;
/// Interval between checks of the membership, in microseconds.
const CHECK_INTERVAL: Micros = SECOND / 2;
/// Maximum number of datagrams accepted from one sender in a second: ten times as many as the busiest limit coordinator
/// sends to one relay.
const MAX_DATAGRAMS_PER_SENDER_PER_S: u32 = 2000;
/// Maximum number of queued items of the membership channel.
const MAX_QUEUED_ITEMS: usize = 512;
/// Maximum number of membership updates in one frame of the membership channel.
const MAX_UPDATES_PER_FRAME: usize = 16;

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
    pub pings_silent_peers: bool,
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
    pub delay: Micros,
}

/// A frame for a peer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OutgoingFrame {
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
    fn is_budgeted(&self) -> bool {
        true
    }

    /// Receives a frame. Returns whether all of it was valid.
    fn receive_frame(&mut self, now: Micros, from: &Sender, members: &Members, bytes: &[u8]) -> bool;

    /// Returns the frames to send now, of at most `room` bytes each and `allowance` bytes in total.
    fn poll_frames(
        &mut self, now: Micros, members: &Members, room: usize, allowance: usize,
    ) -> Vec<OutgoingFrame>;

    /// When the channel next has something to send.
    fn next_at(&self, now: Micros) -> Micros;
}

/// A datagram to send.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OutgoingDatagram {
    /// The recipient.
    pub to: Peer,
    /// The encoded datagram.
    pub bytes: Vec<u8>,
}

/// Counters of a link.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct LinkCounters {
    /// Datagrams sent.
    pub sent: u64,
    /// Bytes in them.
    pub bytes: u64,
    /// Datagrams accepted.
    pub accepted: u64,
    /// Datagrams without effect, by reason.
    pub ignored: BTreeMap<DatagramError, u64>,
    /// Frames skipped: those of an unknown channel, and invalid ones.
    pub skipped: u64,
}

impl LinkCounters {
    /// Number of datagrams without effect, for any reason.
    pub fn ignored(&self) -> u64 {
        self.ignored.values().sum()
    }
}

/// An item of the membership channel.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
enum Item {
    /// Asks whether the recipient is alive.
    Ping,
    /// Answers a ping, or a report that the sender refutes.
    Pong,
    /// Reports the state of a peer.
    Member {
        peer: Peer,
        incarnation: u32,
        #[serde(rename = "standing")]
        state: MemberState,
    },
}

impl From<Update> for Item {
    fn from(Update { peer, incarnation, state }: Update) -> Self {
        Item::Member { peer, incarnation, state }
    }
}

/// State of the link for one sender.
#[derive(Clone, Copy, Debug, Default)]
struct SenderState {
    replay: ReplayWindow,
    delay: DelayEstimator,
    second: Micros,
    in_second: u32,
}

/// Frames of one datagram, with their channels.
type Frames = Vec<(u8, Vec<u8>)>;

/// A relay's end of the link.
#[derive(Debug)]
pub struct PeerLink {
    config: Config,
    members: Members,
    senders: BTreeMap<Peer, SenderState>,
    number: u32,
    queued: Vec<(Peer, Item)>,
    /// Peers that are sent updates at the next poll, besides those that are sent items anyway.
    updates_to: Vec<Peer>,
    tokens: f64,
    tokens_at: Micros,
    next_check_at: Micros,
    /// Whether the budget held back frames at the last poll.
    held_back: bool,
    counts: LinkCounters,
}

impl PeerLink {
    /// Creates a link at the present time.
    pub fn new(config: Config, now: Micros) -> Self {
        let members = Members::new(config.me, config.incarnation, config.peers.iter().copied());
        PeerLink {
            members,
            senders: BTreeMap::new(),
            number: 0,
            queued: Vec::new(),
            updates_to: Vec::new(),
            tokens: 2.0 * MAX_DATAGRAM_BYTES as f64,
            tokens_at: now,
            next_check_at: now,
            held_back: false,
            counts: LinkCounters::default(),
            config,
        }
    }

    /// The membership.
    pub fn members(&self) -> &Members {
        &self.members
    }

    /// The counters.
    pub fn counts(&self) -> &LinkCounters {
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
        self.senders.retain(|peer, _| members.contains(*peer));
    }

    /// Receives a datagram and dispatches its frames to the channels.
    ///
    /// # Errors
    /// Why it has no effect. The link counts it.
    pub fn receive(
        &mut self, now: Micros, bytes: &[u8], channels: &mut [&mut dyn Channel],
    ) -> Result<(), DatagramError> {
        let accepted = self.open_and_dispatch(now, bytes, channels);
        match accepted {
            Ok(()) => self.counts.accepted += 1,
            Err(reason) => *self.counts.ignored.entry(reason).or_default() += 1,
        }
        accepted
    }

    fn open_and_dispatch(
        &mut self, now: Micros, bytes: &[u8], channels: &mut [&mut dyn Channel],
    ) -> Result<(), DatagramError> {
        let (head, frames) = datagram::open(&self.config.keys, bytes)?;
        if head.from == self.config.me || !self.members.contains(head.from) {
            return Err(DatagramError::Stranger);
        }
        let sender = self.senders.entry(head.from).or_default();
        let second = now.div_euclid(SECOND);
        if sender.second != second {
            (sender.second, sender.in_second) = (second, 0);
        }
        sender.in_second += 1;
        if sender.in_second > MAX_DATAGRAMS_PER_SENDER_PER_S {
            return Err(DatagramError::Flood);
        }
        sender.replay.accept(head.incarnation, head.number)?;
        let delay = sender.delay.observe(now, head.sent);
        if delay > MAX_DELAY {
            return Err(DatagramError::TooLate);
        }
        if let Some(state) = self.members.record_datagram(now, head.from, head.incarnation) {
            let item = Item::Member { peer: head.from, incarnation: head.incarnation, state };
            self.queue(head.from, item);
        }
        let from = Sender { peer: head.from, incarnation: head.incarnation, sent: head.sent, delay };
        for (id, frame) in frames {
            let valid = match channels.iter_mut().find(|channel| channel.id() == id) {
                Some(channel) => channel.receive_frame(now, &from, &self.members, frame),
                None if id == MEMBERSHIP_CHANNEL => self.receive_items(now, head.from, frame),
                None => false,
            };
            self.counts.skipped += u64::from(!valid);
        }
        Ok(())
    }

    fn receive_items(&mut self, now: Micros, from: Peer, mut bytes: &[u8]) -> bool {
        while !bytes.is_empty() {
            let Ok((item, rest)) = postcard::take_from_bytes::<Item>(bytes) else { return false };
            bytes = rest;
            match item {
                Item::Ping => self.queue(from, Item::Pong),
                Item::Pong => {}
                Item::Member { peer, incarnation, state } => {
                    match self.members.apply_report(now, peer, incarnation, state) {
                        Reaction::None => {}
                        Reaction::Refute => self.refute(from),
                        Reaction::Warn => self.queue(peer, item),
                    }
                }
            }
        }
        true
    }

    /// Answers a wrong report on this relay, and disseminates the refutation at once, before others accept the report.
    fn refute(&mut self, from: Peer) {
        self.queue(from, Item::Pong);
        let receivers = self.members.urgent_receivers();
        self.updates_to.extend(receivers);
    }

    /// Queues an item, unless the same item is queued for the peer already.
    fn queue(&mut self, to: Peer, item: Item) {
        if self.queued.len() < MAX_QUEUED_ITEMS && !self.queued.contains(&(to, item)) {
            self.queued.push((to, item));
        }
    }

    /// Returns the datagrams to send now: the membership channel's frames, then those of each channel in their order.
    pub fn poll(&mut self, now: Micros, channels: &mut [&mut dyn Channel]) -> Vec<OutgoingDatagram> {
        let rate = f64::from(self.config.bytes_per_s);
        let max_tokens =
            (rate * BUDGET_ACCUMULATION as f64 / SECOND as f64).max(2.0 * MAX_DATAGRAM_BYTES as f64);
        let passed = (now - self.tokens_at).max(0) as f64 / SECOND as f64;
        (self.tokens, self.tokens_at) =
            ((self.tokens + rate * passed).min(max_tokens), now.max(self.tokens_at));
        if now >= self.next_check_at {
            self.next_check_at = now + CHECK_INTERVAL;
            if self.config.pings_silent_peers {
                self.check_membership(now);
            }
        }
        let mut frames_to_send: Vec<(Peer, u8, Vec<u8>)> = Vec::new();
        frames_to_send.extend(self.own_frames());
        let room = datagram::frame_capacity(&self.config.keys) - FRAME_OVERHEAD_BYTES;
        self.held_back = false;
        let mut spent =
            frames_to_send.iter().map(|(_, _, bytes)| bytes.len() + FRAME_OVERHEAD_BYTES).sum::<usize>();
        for channel in channels.iter_mut() {
            let left = (self.tokens - spent as f64).max(0.0) as usize;
            let allowance = if channel.is_budgeted() { left } else { usize::MAX };
            let channel_frames = channel.poll_frames(now, &self.members, room, allowance);
            self.held_back |= channel.is_budgeted() && channel.next_at(now) <= now;
            spent +=
                channel_frames.iter().map(|frame| frame.bytes.len() + FRAME_OVERHEAD_BYTES).sum::<usize>();
            frames_to_send
                .extend(channel_frames.into_iter().map(|frame| (frame.to, channel.id(), frame.bytes)));
        }
        let out = self.pack(now, frames_to_send);
        // Channels without a budget may overdraw it, and the others then wait, but only up to a limit.
        self.tokens =
            (self.tokens - out.iter().map(|out| out.bytes.len() as f64).sum::<f64>()).max(-max_tokens);
        out
    }

    /// Pings silent peers, and disseminates membership updates. A suspect peer is notified, so that it can refute the suspicion.
    fn check_membership(&mut self, now: Micros) {
        let round = self.members.check(now);
        for peer in round.pings {
            if let Some((incarnation, state)) = self.members.suspect_or_dead(peer) {
                self.queue(peer, Item::Member { peer, incarnation, state });
            }
            self.queue(peer, Item::Ping);
        }
        self.updates_to.extend(round.updates_to);
    }

    /// The frames of the membership channel, one for each recipient, with membership updates while there are any.
    fn own_frames(&mut self) -> Vec<(Peer, u8, Vec<u8>)> {
        let mut items: BTreeMap<Peer, Vec<Item>> = BTreeMap::new();
        for (to, item) in std::mem::take(&mut self.queued) {
            items.entry(to).or_default().push(item);
        }
        for to in std::mem::take(&mut self.updates_to) {
            items.entry(to).or_default();
        }
        let mut frames = Vec::new();
        for (to, mut items) in items {
            if self.config.pings_silent_peers {
                items.extend(self.members.take_updates(MAX_UPDATES_PER_FRAME).into_iter().map(Item::from));
            }
            let bytes: Vec<u8> =
                items.iter().filter_map(|item| postcard::to_allocvec(item).ok()).flatten().collect();
            if !bytes.is_empty() {
                frames.push((to, MEMBERSHIP_CHANNEL, bytes));
            }
        }
        frames
    }

    /// Packs frames into as few datagrams as they fit in, in their order.
    fn pack(&mut self, now: Micros, frames_to_send: Vec<(Peer, u8, Vec<u8>)>) -> Vec<OutgoingDatagram> {
        let mut by_peer: BTreeMap<Peer, Vec<Frames>> = BTreeMap::new();
        let room = datagram::frame_capacity(&self.config.keys);
        let size = |frames: &[(u8, Vec<u8>)]| {
            frames.iter().map(|(_, b)| b.len() + FRAME_OVERHEAD_BYTES).sum::<usize>()
        };
        for (to, channel, bytes) in frames_to_send {
            let datagrams = by_peer.entry(to).or_default();
            match datagrams
                .last_mut()
                .filter(|frames| size(frames) + bytes.len() + FRAME_OVERHEAD_BYTES <= room)
            {
                Some(frames) => frames.push((channel, bytes)),
                None => datagrams.push(vec![(channel, bytes)]),
            }
        }
        let mut out = Vec::new();
        for (to, datagrams) in by_peer {
            for frames in datagrams {
                self.number += 1;
                let (from, incarnation) = (self.config.me, self.members.incarnation());
                let head = Header { from, incarnation, number: self.number, sent: Stamp::of(now) };
                let Some(bytes) = datagram::seal(&self.config.keys, &head, &frames) else { continue };
                self.counts.sent += 1;
                self.counts.bytes += bytes.len() as u64;
                out.push(OutgoingDatagram { to, bytes });
            }
        }
        out
    }

    /// When [`Link::poll`] next has something to do.
    pub fn next_at(&self, now: Micros, channels: &[&mut dyn Channel]) -> Micros {
        let missing = (MAX_DATAGRAM_BYTES as f64 - self.tokens).max(0.0);
        let time_to_afford = missing / f64::from(self.config.bytes_per_s.max(1)) * SECOND as f64;
        let affordable = self.tokens_at + time_to_afford.ceil() as Micros;
        let mut at = if self.config.pings_silent_peers { self.next_check_at } else { Micros::MAX };
        if !self.queued.is_empty() {
            at = now;
        }
        for channel in channels {
            let next = channel.next_at(now);
            at = at.min(if channel.is_budgeted() && self.held_back { next.max(affordable) } else { next });
        }
        at.max(now)
    }
}
