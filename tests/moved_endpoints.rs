//! Endpoints whose address or destination changes between the decision on a call and its bytes.

mod stand;

use stand::runtime::TestRuntime;
use tulipfall::exchange::{Answer, Member, OutboundCall};
use tulipfall::input::Input;
use tulipfall::interface::*;
use tulipfall::wire::RawEntry;

/// Time until a message is due, in microseconds.
const LEFT: Micros = 8_000_000;
/// Id and address of the endpoint in the configuration of [`TestRuntime`], which has destination 0.
const ENDPOINT: (&str, &str) = ("s-0", "127.0.0.1:9");
/// Another address.
const OTHER_ADDRESS: &str = "127.0.0.1:10";

fn member(id: &str, address: &str, destination: i64, state: ServiceState) -> Member {
    let entry = RawEntry::new("house".into(), state, destination, "a".into(), 4.0, id.into());
    Member { entry, id: id.into(), address: address.into() }
}

/// Sends a change of the destination set and waits until it is processed.
async fn change(fixture: &TestRuntime, members: Vec<Member>) {
    let input = Input::DestinationsUpdated(ListUpdate::Changes, members);
    fixture.inputs.send(input).await.expect("it runs");
    // Inputs are processed in order, and this one gets an answer.
    let unknown = fixture.submit("unknown", "no-such-class", LEFT).await;
    assert_eq!(unknown, Answer::UnknownClass);
}

/// Starts a runtime and returns it with a call that it has decided.
async fn with_decided_call(name: &str) -> (TestRuntime, OutboundCall) {
    let mut fixture = TestRuntime::start(name);
    assert_eq!(fixture.submit("m", "paid-extra", LEFT).await, Answer::Accepted);
    let call = fixture.call().await;
    assert_eq!((&*call.address, call.exchange.destination), (ENDPOINT.1, 0));
    assert!(fixture.send_guard.allows(&call));
    (fixture, call)
}

// Guards against a call that reaches another destination, as a new endpoint came up at the address of the one it was decided for.
#[tokio::test(flavor = "local")]
async fn a_call_is_not_sent_once_its_endpoint_is_listed_at_another_address_or_destination() {
    let listed = ServiceState::InService;
    let changes = [
        ("moved-address", vec![member(ENDPOINT.0, OTHER_ADDRESS, 0, listed)]),
        ("moved-destination", vec![member(ENDPOINT.0, ENDPOINT.1, 1, listed)]),
        (
            "moved-swap",
            vec![member(ENDPOINT.0, OTHER_ADDRESS, 0, listed), member("s-1", ENDPOINT.1, 1, listed)],
        ),
        ("moved-gone", vec![member(ENDPOINT.0, ENDPOINT.1, 0, ServiceState::Removed)]),
    ];
    for (name, members) in changes {
        let (fixture, call) = with_decided_call(name).await;
        change(&fixture, members).await;
        assert!(!fixture.send_guard.allows(&call), "{name}");
    }
}

// Guards against the same when the endpoint has gone in between and its id comes back.
#[tokio::test(flavor = "local")]
async fn a_call_to_an_endpoint_that_has_gone_is_not_sent_when_its_id_is_listed_elsewhere() {
    let (fixture, call) = with_decided_call("moved-returned").await;
    change(&fixture, vec![member(ENDPOINT.0, ENDPOINT.1, 0, ServiceState::Removed)]).await;
    change(&fixture, vec![member(ENDPOINT.0, OTHER_ADDRESS, 0, ServiceState::InService)]).await;
    assert!(!fixture.send_guard.allows(&call));
}

#[tokio::test(flavor = "local")]
async fn a_call_is_sent_if_its_endpoint_is_listed_again_unchanged_and_the_next_one_goes_where_it_is_listed() {
    let (mut fixture, call) = with_decided_call("moved-unchanged").await;
    change(&fixture, vec![member(ENDPOINT.0, ENDPOINT.1, 0, ServiceState::InService)]).await;
    assert!(fixture.send_guard.allows(&call));
    change(&fixture, vec![member(ENDPOINT.0, OTHER_ADDRESS, 0, ServiceState::InService)]).await;
    assert!(!fixture.send_guard.allows(&call));
    fixture.end(&call, Outcome::Skipped).await;
    let next = fixture.call().await;
    assert_eq!((&*next.address, &*next.exchange.id), (OTHER_ADDRESS, "m"));
    assert!(fixture.send_guard.allows(&next));
}
