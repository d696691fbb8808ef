//! How many relays are started: by the form of a scenario, and by what the machine has.

use rig::resources::{Demand, ResourceError, Supply};
use rig::scenario::{MOST_RELAYS, Scenario};

#[test]
fn a_fleet_that_the_machine_does_not_bear_is_not_started() {
    let demand = Demand::of(MOST_RELAYS, 20);
    let enough = Supply { descriptors: demand.descriptors, memory_bytes: demand.memory_bytes };
    assert_eq!(demand.within(enough), Ok(()));
    let few = Supply { descriptors: demand.descriptors - 1, ..enough };
    assert!(matches!(demand.within(few), Err(ResourceError::Descriptors { .. })));
    let little = Supply { memory_bytes: demand.memory_bytes - 1, ..enough };
    assert!(matches!(demand.within(little), Err(ResourceError::Memory { .. })));
}

#[test]
fn two_hundred_relays_are_allowed_and_one_more_is_named_by_its_key() {
    let with_relays = |relays: &str| {
        format!("about = \"x\"\nrelays = {relays}\nseconds = 9\n[load]\nper_s = 5\n[[partner]]\nper_s = 4\n")
    };
    assert!(Scenario::read(&with_relays("200")).is_ok());
    let error = Scenario::read(&with_relays("201")).expect_err("too many");
    assert!(error.to_string().contains("relays: expected 1 to 200"), "{error}");
}
