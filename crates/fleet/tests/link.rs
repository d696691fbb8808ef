//! The link between relays: channels, rejected datagrams, the budget, and refutation by a suspected relay.

use fleet::keys::{Key, Keys};
use fleet::link::{Channel, Config, Link, Said, Sender};
use fleet::members::Members;
use fleet::note::{MOST, NoteError};
use fleet::{Micros, Peer, SECOND};

/// Messages that the link accepts from one sender in a second.
const FLOOD: u32 = 2000;
/// Interval at which the link checks its members, in microseconds.
const LOOK: Micros = SECOND / 2;

/// Says what it is told to, and remembers what it hears.
struct Talk {
    id: u8,
    bound: bool,
    heard: Vec<(Peer, Vec<u8>, Micros)>,
    to_say: Vec<Said>,
}

impl Channel for Talk {
    fn id(&self) -> u8 {
        self.id
    }

    fn bound(&self) -> bool {
        self.bound
    }

    fn hear(&mut self, _: Micros, from: &Sender, _: &Members, bytes: &[u8]) -> bool {
        self.heard.push((from.peer, bytes.to_vec(), from.late));
        bytes != b"nonsense"
    }

    fn say(&mut self, _: Micros, _: &Members, _: usize, mut allowance: usize) -> Vec<Said> {
        let mut fits = |said: &Said| {
            let fits = said.bytes.len() <= allowance;
            allowance = allowance.saturating_sub(said.bytes.len());
            fits
        };
        let n = self.to_say.iter().take_while(|said| fits(said)).count();
        self.to_say.drain(..n).collect()
    }

    fn next_at(&self, now: Micros) -> Micros {
        if self.to_say.is_empty() { Micros::MAX } else { now }
    }
}

fn talk(id: u8) -> Talk {
    Talk { id, bound: true, heard: vec![], to_say: vec![] }
}

const NOW: Micros = 1_790_000_000 * SECOND;

fn link(me: Peer, incarnation: u32, keys: Keys) -> Link {
    Link::new(Config { me, incarnation, peers: (0..4).collect(), keys, bytes_per_s: 1000, asks: false }, NOW)
}

fn say(to: Peer, bytes: &[u8]) -> Said {
    Said { to, bytes: bytes.to_vec() }
}

#[test]
fn channels_share_a_note_and_what_is_not_known_is_skipped() {
    let (mut ours, mut theirs) = (link(0, 1, Keys::default()), link(1, 1, Keys::default()));
    let (mut first, mut second) = (talk(1), talk(9));
    first.to_say = vec![say(1, b"permit")];
    second.to_say = vec![say(1, b"of a later build")];
    let out = ours.poll(NOW, &mut [&mut first, &mut second]);
    assert_eq!(out.len(), 1, "one note for both");
    let mut hears = talk(1);
    assert_eq!(theirs.receive(NOW + 3000, &out[0].bytes, &mut [&mut hears]), Ok(()));
    assert_eq!(hears.heard.len(), 1);
    assert_eq!((hears.heard[0].0, hears.heard[0].1.as_slice()), (0, &b"permit"[..]));
    assert_eq!(theirs.counts().skipped, 1);
    first.to_say = vec![say(1, b"nonsense")];
    let out = ours.poll(NOW, &mut [&mut first]);
    assert_eq!(theirs.receive(NOW + 3000, &out[0].bytes, &mut [&mut hears]), Ok(()));
    assert_eq!(theirs.counts().skipped, 2);
}

#[test]
fn what_is_forged_replayed_foreign_cut_or_of_a_flood_is_counted_by_reason_and_has_no_effect() {
    let keys = |byte| Keys(vec![Key { id: 1, bytes: vec![byte; 32] }]);
    let mut theirs = link(1, 1, keys(1));
    let mut hears = talk(1);
    let note = |me, incarnation, key| {
        let mut says = talk(1);
        says.to_say = vec![say(1, b"x")];
        link(me, incarnation, keys(key)).poll(NOW, &mut [&mut says]).remove(0).bytes
    };
    let good = note(0, 5, 1);
    let mut take = |bytes: &[u8], at| theirs.receive(at, bytes, &mut [&mut hears]);
    assert_eq!(take(&note(0, 5, 2), NOW), Err(NoteError::Forged));
    assert_eq!(take(&good[..good.len() - 1], NOW), Err(NoteError::Forged));
    assert_eq!(take(&good[..9], NOW), Err(NoteError::Malformed));
    assert_eq!(take(&[3; 300], NOW), Err(NoteError::Malformed));
    assert_eq!(take(&[2, 0, 1, 1], NOW), Err(NoteError::Version(2)));
    assert_eq!(take(&note(7, 5, 1), NOW), Err(NoteError::Stranger), "of nobody listed");
    assert_eq!(take(&note(1, 5, 1), NOW), Err(NoteError::Stranger), "its own number, somebody else's note");
    assert_eq!(take(&good, NOW), Ok(()));
    assert_eq!(take(&good, NOW), Err(NoteError::Replayed));
    assert_eq!(take(&note(0, 4, 1), NOW), Err(NoteError::Replayed), "of an earlier start");
    assert_eq!(take(&note(0, 6, 1), NOW), Ok(()), "it started again");
    assert_eq!(take(&note(0, 5, 1), NOW), Err(NoteError::Replayed), "a second one of its number");
    for _ in 0..FLOOD {
        let _ = take(&good, NOW);
    }
    assert_eq!(take(&good, NOW), Err(NoteError::Flood));
    assert_eq!(take(&note(0, 7, 1), NOW + SECOND), Ok(()), "and is heard again");
    assert_eq!(hears.heard.len(), 3);
    assert_eq!(theirs.counts().ignored[&NoteError::Stranger], 2);
}

#[test]
fn the_budget_binds_who_is_bound_and_the_urgent_goes_first() {
    let mut ours = link(0, 1, Keys::default());
    let (mut urgent, mut bulk) = (talk(1), talk(2));
    urgent.bound = false;
    let mut sent = (0, 0);
    for ms in 0..4000 {
        urgent.to_say = if ms % 10 == 0 { vec![say(1, &[1; 4])] } else { vec![] };
        bulk.to_say = vec![say(2, &[2; 200]), say(3, &[3; 200])];
        for out in ours.poll(NOW + ms * 1000, &mut [&mut urgent, &mut bulk]) {
            assert!(out.bytes.len() <= MOST);
            match out.to {
                1 => sent.0 += 1,
                _ => sent.1 += out.bytes.len(),
            }
        }
    }
    assert_eq!(sent.0, 400, "what is urgent always goes");
    assert!(sent.1 <= 4 * 1000 + 512, "{} bytes in four seconds of 1,000 each", sent.1);
    let next = ours.next_at(NOW + 4_000_000, &[&mut urgent, &mut bulk]);
    assert!(next > NOW + 4_000_000, "it does not spin while it has to wait");
}

#[test]
fn one_that_is_doubted_hears_of_it_and_says_otherwise() {
    let config = |me| Config {
        me,
        incarnation: 5,
        peers: vec![0, 1],
        keys: Keys::default(),
        bytes_per_s: 4000,
        asks: true,
    };
    let (mut ours, mut theirs) = (Link::new(config(0), NOW), Link::new(config(1), NOW));
    let mut now = NOW;
    // Notes to the other are lost for a while, and then one comes through.
    while ours.members().doubted(1).is_none() {
        now += LOOK;
        assert!(now < NOW + 20 * SECOND, "it is never doubted");
        ours.poll(now, &mut []);
    }
    for _ in 0..8 {
        now += LOOK;
        for out in ours.poll(now, &mut []) {
            theirs.receive(now, &out.bytes, &mut []).expect("a sound note");
        }
        for out in theirs.poll(now, &mut []) {
            ours.receive(now, &out.bytes, &mut []).expect("a sound note");
        }
    }
    assert_eq!(ours.members().doubted(1), None);
    let (_, member) = ours.members().all().next().expect("the other");
    assert!(member.incarnation > 5 || member.heard.is_some(), "by its own word");
}
