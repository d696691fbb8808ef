//! A set equals a plain map after any operations, and sets of equal content have equal digests.

mod common;

use std::collections::BTreeMap;

use common::{content, control_keys, endpoint, publish, signed};
use destinations::{
    ChangeLog, DestinationId, DestinationSet, Endpoint, LogLimits, Operation, Phase, SnapshotInstall, persist,
};
use proptest::prelude::*;

type Model = BTreeMap<DestinationId, BTreeMap<String, Endpoint>>;

/// Applies operations to the model. `None` if one cannot be applied.
fn model_apply(model: &Model, operations: &[Operation]) -> Option<Model> {
    let mut model = model.clone();
    for operation in operations {
        match operation.clone() {
            Operation::PutEndpoint { destination, endpoint } => {
                model.entry(destination).or_default().insert(endpoint.id.clone(), endpoint);
            }
            Operation::RemoveEndpoint { destination, endpoint_id } => {
                model.get_mut(&destination)?.remove(&endpoint_id)?;
            }
            Operation::RemoveDestination { destination } => {
                model.remove(&destination)?;
            }
        }
        model.retain(|_, endpoints| !endpoints.is_empty());
    }
    Some(model)
}

fn operation() -> impl Strategy<Value = Operation> {
    let id = (0..12_i64).prop_map(|id| DestinationId(id * 1_000_003));
    let name = "[a-d]";
    let address = prop_oneof![
        any::<([u8; 4], u16)>().prop_map(Into::into),
        any::<([u8; 16], u16)>().prop_map(Into::<std::net::SocketAddr>::into),
    ];
    let endpoint = (name, address, "[xy]?", any::<bool>(), 0.0..1e6).prop_map(
        |(id, address, zone, ready, rate_per_s)| {
            let phase = if ready { Phase::Ready } else { Phase::Draining };
            Endpoint { address, zone, phase, rate_per_s, ..endpoint(&id, 1) }
        },
    );
    prop_oneof![
        4 => (id.clone(), endpoint)
            .prop_map(|(destination, endpoint)| Operation::PutEndpoint { destination, endpoint }),
        1 => (id.clone(), name)
            .prop_map(|(destination, endpoint_id)| Operation::RemoveEndpoint { destination, endpoint_id }),
        1 => id.prop_map(|destination| Operation::RemoveDestination { destination }),
    ]
}

fn assert_equals_model(set: &DestinationSet, model: &Model) {
    let mut held = content(set);
    held.sort_by_key(|(id, _)| *id);
    let wanted: Vec<_> = model.iter().map(|(id, held)| (*id, held.values().cloned().collect())).collect();
    assert_eq!(held, wanted);
    assert_eq!(set.len(), model.len());
}

/// A set with the model's content, inserted one by one in reverse order.
fn rebuilt(model: &Model) -> DestinationSet {
    let mut set = DestinationSet::new();
    for (id, endpoints) in model.iter().rev() {
        for endpoint in endpoints.values().rev().cloned() {
            publish(&mut set, vec![Operation::PutEndpoint { destination: *id, endpoint }]);
        }
    }
    set
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 64, failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn a_set_equals_the_model(changes in prop::collection::vec(prop::collection::vec(operation(), 0..6), 0..30)) {
        let keys = control_keys(&[1]);
        let (mut set, mut model) = (DestinationSet::new(), Model::new());
        let mut follower = DestinationSet::new();
        let mut log = ChangeLog::new(set.version(), LogLimits { changes: 100, bytes: 1 << 20 });
        let mut last = None;
        for operations in changes {
            let next = model_apply(&model, &operations);
            let prepared = set.prepare(operations.clone());
            prop_assert_eq!(prepared.is_ok(), next.is_some());
            let (Ok(change), Some(next)) = (prepared, next) else { continue };
            let (before, undo) = (set.digest(), set.inverse(&operations).unwrap());
            set.apply(&change).unwrap();
            prop_assert_eq!(set.prepare(undo).unwrap().digest, before);
            log.push(change.version, signed(&change)).unwrap();
            (model, last) = (next, Some(change));
        }
        assert_equals_model(&set, &model);
        prop_assert_eq!(set.digest(), rebuilt(&model).digest());

        // From the log.
        for change in log.since(follower.version()).unwrap() {
            follower.apply(&change.verify(&keys).unwrap()).unwrap();
        }
        prop_assert_eq!(follower.manifest(), set.manifest());
        assert_equals_model(&follower, &model);

        // By a snapshot, onto a set of other content.
        if let Some(last) = last.filter(|change| change.version.number > 1) {
            let mut other = DestinationSet::new();
            publish(&mut other, vec![common::put(3, "z", 1)]);
            let mut install = SnapshotInstall::begin(&other, set.manifest(), &last).unwrap();
            for index in install.missing().collect::<Vec<_>>() {
                install.take(index, &set.bucket(index).unwrap()).unwrap();
            }
            install.finish(&mut other).unwrap();
            prop_assert_eq!(other.manifest(), set.manifest());
            assert_equals_model(&other, &model);
        }

        // From a file, which recomputes every digest.
        let mut decoder = persist::Decoder::new();
        persist::encode(&set).try_for_each(|piece| decoder.push(&piece)).unwrap();
        let read = decoder.finish().unwrap();
        prop_assert_eq!(read.manifest(), set.manifest());
        assert_equals_model(&read, &model);
    }
}
