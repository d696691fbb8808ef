//! The state that follows from committed entries: the same on every machine, whatever the entries are.

use consensus::Entry;
use control::{
    Command, Committed, ControlState, MAX_PROPOSAL_BYTES, Outcome, Proposal, ProposalError, ProposalId,
    Refusal, RestoreError,
};
use destinations::{
    ControlKeys, DestinationId, DestinationSet, Endpoint, Operation, Phase, SignedChange, SigningKey, Version,
};
use proptest::prelude::*;

fn key() -> SigningKey {
    SigningKey::from_bytes(&[7; 32])
}

fn endpoint(id: &str, port: u16) -> Endpoint {
    Endpoint {
        id: id.to_owned(),
        address: ([127, 0, 0, 1], port).into(),
        kind: "http".to_owned(),
        zone: "a1".to_owned(),
        phase: Phase::Ready,
        rate_per_s: 10.0,
    }
}

fn put(destination: i64, port: u16) -> Operation {
    Operation::PutEndpoint { destination: DestinationId(destination), endpoint: endpoint("one", port) }
}

fn remove(destination: i64) -> Operation {
    Operation::RemoveDestination { destination: DestinationId(destination) }
}

fn proposal(number: u8, command: Command) -> Proposal {
    Proposal { id: ProposalId([number; 16]), command }
}

fn entry(index: u64, proposal: &Proposal) -> Entry {
    Entry { term: 1, index, data: proposal.encode().expect("within the bound") }
}

fn apply(state: &mut ControlState, number: u8, command: Command) -> Committed {
    state.apply(&entry(u64::from(number), &proposal(number, command)))
}

fn version(number: u64) -> Version {
    Version { epoch: 0, number }
}

#[test]
fn a_proposal_becomes_the_next_change_signed_by_the_cluster() {
    let mut state = ControlState::new(key());
    let keys = ControlKeys::new(&[key().verifying_key().to_bytes()]).expect("a sound key");
    let mut relay = DestinationSet::new();
    for number in 1..=3 {
        let committed = apply(&mut state, number, Command::Publish(vec![put(number.into(), 80)]));
        assert_eq!(committed.outcome, Outcome::Published(version(number.into())));
        let change = committed.signed.expect("a change").verify(&keys).expect("signed by the cluster");
        relay.apply(&change).expect("it fits a relay's set");
    }
    assert_eq!((relay.version(), relay.digest()), (state.version(), state.digest()));
    assert_eq!(state.log().len(), 3);
}

#[test]
fn what_does_not_apply_is_refused_with_its_reason_and_changes_nothing() {
    let mut state = ControlState::new(key());
    apply(&mut state, 1, Command::Publish(vec![put(1, 80)]));
    let before = state.digest();
    let committed = apply(&mut state, 2, Command::Publish(vec![put(2, 80), remove(9)]));
    let why = "destination 9 is not in the set".to_owned();
    assert_eq!(committed.outcome, Outcome::Refused(Refusal::DoesNotApply(why)));
    assert_eq!((committed.signed, state.version(), state.digest()), (None, version(1), before));
    let unsound = Operation::PutEndpoint { destination: DestinationId(1), endpoint: endpoint("", 80) };
    let committed = apply(&mut state, 3, Command::Publish(vec![unsound]));
    assert!(matches!(committed.outcome, Outcome::Refused(Refusal::DoesNotApply(_))));
    let committed = state.apply(&Entry { term: 1, index: 4, data: vec![1, 2, 3] });
    assert_eq!(
        committed,
        Committed { id: None, outcome: Outcome::Refused(Refusal::Malformed), signed: None }
    );
    assert_eq!(state.version(), version(1));
}

#[test]
fn a_proposal_that_comes_twice_is_taken_once() {
    let mut state = ControlState::new(key());
    let first = apply(&mut state, 1, Command::Publish(vec![put(1, 80)]));
    apply(&mut state, 2, Command::Publish(vec![put(1, 81)]));
    let again = apply(&mut state, 1, Command::Publish(vec![put(1, 80)]));
    assert_eq!((again.outcome, again.signed), (first.outcome, None));
    let refused = apply(&mut state, 3, Command::Publish(vec![remove(2)]));
    apply(&mut state, 4, Command::Publish(vec![put(2, 80)]));
    let again = apply(&mut state, 3, Command::Publish(vec![remove(2)]));
    assert_eq!(again.outcome, refused.outcome, "although it would apply by now");
    assert_eq!(state.version(), version(3));
}

#[test]
fn a_rollback_is_a_change_that_leads_back() {
    let mut state = ControlState::new(key());
    apply(&mut state, 1, Command::Publish(vec![put(1, 80), put(2, 80)]));
    let digest = state.digest();
    apply(&mut state, 2, Command::Publish(vec![put(1, 81), remove(2)]));
    apply(&mut state, 3, Command::Publish(vec![put(3, 80)]));
    let committed = apply(&mut state, 4, Command::Rollback { to: 1 });
    assert_eq!(committed.outcome, Outcome::Published(version(4)));
    assert_eq!(state.digest(), digest);
    let committed = apply(&mut state, 5, Command::Rollback { to: 3 });
    assert_eq!(committed.outcome, Outcome::Published(version(5)), "and a rollback can be undone");
    assert_eq!(state.set().len(), 2);
    for to in [5, 9] {
        let committed = apply(&mut state, 10 + to as u8, Command::Rollback { to });
        assert_eq!(committed.outcome, Outcome::Refused(Refusal::NoWayBack { have: 5, to }));
    }
}

#[test]
fn a_rollback_beyond_what_is_kept_is_refused() {
    let mut state = ControlState::new(key());
    for number in 1..=70 {
        apply(&mut state, number, Command::Publish(vec![put(1, number.into())]));
    }
    let committed = apply(&mut state, 71, Command::Rollback { to: 5 });
    assert_eq!(committed.outcome, Outcome::Refused(Refusal::NoWayBack { have: 70, to: 5 }));
    let committed = apply(&mut state, 72, Command::Rollback { to: 6 });
    assert_eq!(committed.outcome, Outcome::Published(version(71)));
}

#[test]
fn a_proposal_has_bounds_and_one_encoding() {
    let command = Command::Publish((0..64).map(|number| put(number, 80)).collect());
    let long = Proposal { id: ProposalId([1; 16]), command: Command::Publish(vec![put(1, 80); 500]) };
    assert!(matches!(long.encode(), Err(ProposalError::TooLong(_))));
    let sound = proposal(1, command).encode().expect("within the bound");
    assert_eq!(Proposal::decode(&sound).expect("sound").encode().as_ref(), Ok(&sound));
    for end in 0..sound.len() {
        assert!(Proposal::decode(&sound[..end]).is_err(), "cut at {end}");
    }
    let trailing = [&sound[..], &[0]].concat();
    assert_eq!(Proposal::decode(&trailing), Err(ProposalError::Malformed));
    let too_long = vec![0; MAX_PROPOSAL_BYTES + 1];
    assert_eq!(Proposal::decode(&too_long), Err(ProposalError::TooLong(MAX_PROPOSAL_BYTES + 1)));
}

#[test]
fn an_id_is_32_hexadecimal_digits() {
    let id = ProposalId(std::array::from_fn(|position| position as u8));
    assert_eq!(id.to_string(), "000102030405060708090a0b0c0d0e0f");
    assert_eq!(id.to_string().parse(), Ok(id));
    for text in ["", "00", "+0102030405060708090a0b0c0d0e0f0", "0001020304050607 8090a0b0c0d0e0f"] {
        assert_eq!(text.parse::<ProposalId>(), Err(ProposalError::Id), "{text:?}");
    }
}

#[test]
fn a_snapshot_that_was_cut_or_changed_is_refused() {
    let mut state = ControlState::new(key());
    apply(&mut state, 1, Command::Publish(vec![put(1, 80)]));
    let bytes = state.encode();
    for end in [0, 1, 50, bytes.len() / 2, bytes.len() - 1] {
        assert!(ControlState::restore(key(), &bytes[..end]).is_err(), "cut at {end}");
    }
    let mut changed = bytes.clone();
    changed[bytes.len() / 2] ^= 1;
    assert!(matches!(ControlState::restore(key(), &changed), Err(RestoreError::Set(_))));
}

fn command() -> impl Strategy<Value = Command> {
    let operation = prop_oneof![
        (0..6_i64, 1..4_u16).prop_map(|(destination, port)| put(destination, port)),
        (0..6_i64).prop_map(remove),
        (0..6_i64).prop_map(|destination| Operation::RemoveEndpoint {
            destination: DestinationId(destination),
            endpoint_id: "one".to_owned(),
        }),
    ];
    prop_oneof![
        8 => prop::collection::vec(operation, 0..4).prop_map(Command::Publish),
        1 => (0..20_u64).prop_map(|to| Command::Rollback { to }),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 40, failure_persistence: None, ..ProptestConfig::default() })]

    /// One machine applies all entries, another goes through a snapshot on the way; both come to the same bytes.
    #[test]
    fn every_machine_derives_the_same(
        proposals in prop::collection::vec((0..30_u8, command()), 1..40), at in 0..40_usize,
    ) {
        let (mut one, mut other) = (ControlState::new(key()), ControlState::new(key()));
        let keys = ControlKeys::new(&[key().verifying_key().to_bytes()]).expect("a sound key");
        for (index, (number, command)) in proposals.into_iter().enumerate() {
            if index == at {
                other = ControlState::restore(key(), &other.encode()).expect("a sound snapshot");
            }
            let entry = entry(index as u64 + 1, &proposal(number, command));
            let (here, there) = (one.apply(&entry), other.apply(&entry));
            prop_assert_eq!(&here, &there);
            prop_assert!(here.signed.iter().all(|signed: &SignedChange| signed.verify(&keys).is_ok()));
            prop_assert_eq!(one.encode(), other.encode());
        }
    }

    #[test]
    fn no_bytes_make_it_panic(bytes in prop::collection::vec(any::<u8>(), 0..300)) {
        let mut state = ControlState::new(key());
        state.apply(&Entry { term: 1, index: 1, data: bytes.clone() });
        prop_assert!(ControlState::restore(key(), &bytes).is_err());
    }
}
