//! The link between relays: channels, rejected datagrams, the budget, and refutation by a suspected relay.

use fleet::datagram::{DatagramError, MAX_DATAGRAM_BYTES};
use fleet::keys::{Key, Keys};
use fleet::link::{Channel, Config, OutgoingFrame, PeerLink, Sender};
use fleet::members::Members;
use fleet::{Micros, Peer, SECOND};

/// Number of datagrams that a link accepts from one sender in a second.
const MAX_DATAGRAMS_PER_SENDER_PER_S: u32 = 2000;
/// Interval at which a link checks its members, in microseconds.
const CHECK_INTERVAL: Micros = SECOND / 2;

/// A channel that sends given frames and records those that it receives.
struct TestChannel {
    id: u8,
    budgeted: bool,
    received: Vec<(Peer, Vec<u8>, Micros)>,
    outgoing: Vec<OutgoingFrame>,
}

impl Channel for TestChannel {
    fn id(&self) -> u8 {
        self.id
    }

    fn is_budgeted(&self) -> bool {
        self.budgeted
    }

    fn receive_frame(&mut self, _: Micros, from: &Sender, _: &Members, bytes: &[u8]) -> bool {
        self.received.push((from.peer, bytes.to_vec(), from.delay));
        bytes != b"nonsense"
    }

    fn poll_frames(&mut self, _: Micros, _: &Members, _: usize, mut allowance: usize) -> Vec<OutgoingFrame> {
        let mut fits = |frame: &OutgoingFrame| {
            let fits = frame.bytes.len() <= allowance;
            allowance = allowance.saturating_sub(frame.bytes.len());
            fits
        };
        let n = self.outgoing.iter().take_while(|frame| fits(frame)).count();
        self.outgoing.drain(..n).collect()
    }

    fn next_at(&self, now: Micros) -> Micros {
        if self.outgoing.is_empty() { Micros::MAX } else { now }
    }
}

fn channel(id: u8) -> TestChannel {
    TestChannel { id, budgeted: true, received: vec![], outgoing: vec![] }
}

const NOW: Micros = 1_790_000_000 * SECOND;

fn link(me: Peer, incarnation: u32, keys: Keys) -> PeerLink {
    PeerLink::new(
        Config {
            me,
            incarnation,
            peers: (0..4).collect(),
            keys,
            bytes_per_s: 1000,
            pings_silent_peers: false,
        },
        NOW,
    )
}

fn frame(to: Peer, bytes: &[u8]) -> OutgoingFrame {
    OutgoingFrame { to, bytes: bytes.to_vec() }
}

#[test]
fn channels_share_a_datagram_and_unknown_channels_are_skipped() {
    let (mut ours, mut theirs) = (link(0, 1, Keys::default()), link(1, 1, Keys::default()));
    let (mut first, mut second) = (channel(1), channel(9));
    first.outgoing = vec![frame(1, b"permit")];
    second.outgoing = vec![frame(1, b"of a later build")];
    let out = ours.poll(NOW, &mut [&mut first, &mut second]);
    assert_eq!(out.len(), 1, "one datagram for both");
    let mut receiver = channel(1);
    assert_eq!(theirs.receive(NOW + 3000, &out[0].bytes, &mut [&mut receiver]), Ok(()));
    assert_eq!(receiver.received.len(), 1);
    assert_eq!((receiver.received[0].0, receiver.received[0].1.as_slice()), (0, &b"permit"[..]));
    assert_eq!(theirs.counts().skipped, 1);
    first.outgoing = vec![frame(1, b"nonsense")];
    let out = ours.poll(NOW, &mut [&mut first]);
    assert_eq!(theirs.receive(NOW + 3000, &out[0].bytes, &mut [&mut receiver]), Ok(()));
    assert_eq!(theirs.counts().skipped, 2);
}

#[test]
fn rejected_datagrams_have_no_effect_and_are_counted_by_reason() {
    let keys = |byte| Keys(vec![Key { id: 1, bytes: vec![byte; 32] }]);
    let mut theirs = link(1, 1, keys(1));
    let mut receiver = channel(1);
    let datagram = |me, incarnation, key| {
        let mut sender = channel(1);
        sender.outgoing = vec![frame(1, b"x")];
        link(me, incarnation, keys(key)).poll(NOW, &mut [&mut sender]).remove(0).bytes
    };
    let valid = datagram(0, 5, 1);
    let mut receive = |bytes: &[u8], at| theirs.receive(at, bytes, &mut [&mut receiver]);
    assert_eq!(receive(&datagram(0, 5, 2), NOW), Err(DatagramError::Forged));
    assert_eq!(receive(&valid[..valid.len() - 1], NOW), Err(DatagramError::Forged));
    assert_eq!(receive(&valid[..9], NOW), Err(DatagramError::Malformed));
    assert_eq!(receive(&[3; 300], NOW), Err(DatagramError::Malformed));
    assert_eq!(receive(&[2, 0, 1, 1], NOW), Err(DatagramError::Version(2)));
    assert_eq!(receive(&datagram(7, 5, 1), NOW), Err(DatagramError::Stranger), "sender not in the list");
    assert_eq!(
        receive(&datagram(1, 5, 1), NOW),
        Err(DatagramError::Stranger),
        "a datagram with the receiver's own number"
    );
    assert_eq!(receive(&valid, NOW), Ok(()));
    assert_eq!(receive(&valid, NOW), Err(DatagramError::Replayed));
    assert_eq!(receive(&datagram(0, 4, 1), NOW), Err(DatagramError::Replayed), "earlier incarnation");
    assert_eq!(receive(&datagram(0, 6, 1), NOW), Ok(()), "new incarnation");
    assert_eq!(
        receive(&datagram(0, 5, 1), NOW),
        Err(DatagramError::Replayed),
        "earlier incarnation after a restart"
    );
    for _ in 0..MAX_DATAGRAMS_PER_SENDER_PER_S {
        let _ = receive(&valid, NOW);
    }
    assert_eq!(receive(&valid, NOW), Err(DatagramError::Flood));
    assert_eq!(receive(&datagram(0, 7, 1), NOW + SECOND), Ok(()), "accepted again in the next second");
    assert_eq!(receiver.received.len(), 3);
    assert_eq!(theirs.counts().ignored[&DatagramError::Stranger], 2);
}

#[test]
fn the_budget_limits_budgeted_channels_only_and_others_go_first() {
    let mut ours = link(0, 1, Keys::default());
    let (mut urgent, mut bulk) = (channel(1), channel(2));
    urgent.budgeted = false;
    let mut sent = (0, 0);
    for ms in 0..4000 {
        urgent.outgoing = if ms % 10 == 0 { vec![frame(1, &[1; 4])] } else { vec![] };
        bulk.outgoing = vec![frame(2, &[2; 200]), frame(3, &[3; 200])];
        for out in ours.poll(NOW + ms * 1000, &mut [&mut urgent, &mut bulk]) {
            assert!(out.bytes.len() <= MAX_DATAGRAM_BYTES);
            match out.to {
                1 => sent.0 += 1,
                _ => sent.1 += out.bytes.len(),
            }
        }
    }
    assert_eq!(sent.0, 400, "a channel without a budget sends all its frames");
    assert!(sent.1 <= 4 * 1000 + 512, "{} bytes in four seconds of 1,000 each", sent.1);
    let next = ours.next_at(NOW + 4_000_000, &[&mut urgent, &mut bulk]);
    assert!(next > NOW + 4_000_000, "the link does not spin while it waits for its budget");
}

#[test]
fn a_suspected_relay_is_notified_and_refutes() {
    let config = |me| Config {
        me,
        incarnation: 5,
        peers: vec![0, 1],
        keys: Keys::default(),
        bytes_per_s: 4000,
        pings_silent_peers: true,
    };
    let (mut ours, mut theirs) = (PeerLink::new(config(0), NOW), PeerLink::new(config(1), NOW));
    let mut now = NOW;
    // Datagrams to the other relay are lost for a while, and then one arrives.
    while ours.members().suspect_or_dead(1).is_none() {
        now += CHECK_INTERVAL;
        assert!(now < NOW + 20 * SECOND, "the relay is never suspected");
        ours.poll(now, &mut []);
    }
    for _ in 0..8 {
        now += CHECK_INTERVAL;
        for out in ours.poll(now, &mut []) {
            theirs.receive(now, &out.bytes, &mut []).expect("a valid datagram");
        }
        for out in theirs.poll(now, &mut []) {
            ours.receive(now, &out.bytes, &mut []).expect("a valid datagram");
        }
    }
    assert_eq!(ours.members().suspect_or_dead(1), None);
    let (_, member) = ours.members().all().next().expect("the other relay");
    assert!(member.incarnation > 5 || member.last_heard.is_some(), "refuted by the relay itself");
}
