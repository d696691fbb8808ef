//! Relays on loopback sockets that share limits and observations on one peer link: a request leaves as a datagram, and a grant
//! arrives as an input; a failure that one relay observes is reported to the other; datagrams of this and the previous build
//! arrive on one socket.

use std::net::{SocketAddr, UdpSocket};
use std::sync::Arc;
use std::time::Duration;

use fleet::keys::Keys;
use permits::Sharing;
use permits::item::Item;
use permits::v2::Datagram;
use record::model::Evidence;
use tokio::sync::{mpsc, watch};
use tulipfall::exchange::{CallEnd, Clock};
use tulipfall::fleet::{FleetUpdate, InitialEndpoints, ObservationSetup, Setup, call_ended, start};
use tulipfall::input::Input;
use tulipfall::interface::{LimitReport, ObservedCondition, Outcome, RuleParameters, TargetId};
use tulipfall::standing::ProcessStatus;

const RULES: RuleParameters = RuleParameters {
    cold_capacity_fraction: 0.16,
    warm_up: 10_000_000,
    overload_multiple: 2.0,
    overload_window: 2_000_000,
    drain_grace: 1_000_000,
    settle_time: 0,
};
/// A time limit far beyond the duration of any step.
const TEST_TIMEOUT: Duration = Duration::from_secs(20);

/// Receives grants for a destination until there are `wanted` of them. Returns their number.
async fn receive_grants(inputs: &mut mpsc::Receiver<Input>, destination: i64, wanted: u16) -> u16 {
    let mut granted = 0;
    while granted < wanted {
        let input = tokio::time::timeout(TEST_TIMEOUT, inputs.recv()).await.expect("a coordinator answers");
        if let Some(Input::Granted(given)) = input
            && given.destination == destination
        {
            granted += given.grants;
        }
    }
    granted
}

/// Addresses without a listener.
fn unused_addresses(count: usize) -> Vec<SocketAddr> {
    let sockets: Vec<UdpSocket> =
        (0..count).map(|_| UdpSocket::bind("127.0.0.1:0").expect("a port")).collect();
    sockets.iter().map(|socket| socket.local_addr().expect("an address")).collect()
}

/// A running relay's part in its fleet.
struct RunningRelay {
    updates: mpsc::UnboundedSender<FleetUpdate>,
    inputs: mpsc::Receiver<Input>,
}

async fn start_relay(
    me: u16, all: &[SocketAddr], sharing: Sharing, facts: bool, clock: Clock,
) -> RunningRelay {
    let (inputs, received) = mpsc::channel(64);
    let setup = Setup {
        me,
        listen: all[usize::from(me)],
        all: all.to_vec(),
        keys: Keys::default(),
        bytes_per_s: 4000,
        permits: Some(sharing),
        repeats: false,
        observations: facts.then_some(ObservationSetup { warm: false }),
        turns: None,
        distribution: None,
        control: None,
    };
    let folder = std::env::temp_dir();
    let replaced = watch::channel(all.to_vec()).1;
    let process = (Arc::new(ProcessStatus::starting(clock)), Arc::default());
    let (clock, before) = ((clock, u64::from(me)), InitialEndpoints::Configured(&[]));
    let started = start(&setup, &RULES, (&folder, 0), clock, (inputs, replaced), process, before).await;
    RunningRelay { updates: started.expect("the port is free").updates, inputs: received }
}

fn end_of_call(outcome: Outcome, began: i64) -> CallEnd {
    let report = LimitReport { remaining_fraction: None, limit: Some(40.0), requested_wait: None };
    let (id, evidence) = ("m".into(), Evidence::default());
    CallEnd {
        id,
        attempt: 0,
        target: TargetId(1),
        outcome,
        decision: outcome.decision(),
        began,
        answered: None,
        report,
        evidence,
    }
}

#[tokio::test]
async fn relays_receive_grants_from_each_other_and_after_the_failure_of_a_coordinator() {
    for sharing in [Sharing::Whole, Sharing::Shares] {
        let clock = Clock::start();
        // The third relay is in the list, but never starts.
        let all = unused_addresses(3);
        let mut relays = Vec::new();
        for me in 0..2u16 {
            relays.push(start_relay(me, &all, sharing, false, clock).await);
        }
        // With this number of destinations each relay coordinates some of them, including the one that never starts.
        let destinations = 1..=12;
        for relay in &relays {
            let listed = destinations.clone().map(|destination| (destination, 40.0)).collect();
            relay.updates.send(FleetUpdate::Listed(listed)).expect("it runs");
        }
        for destination in destinations {
            for relay in &relays {
                relay
                    .updates
                    .send(FleetUpdate::RequestGrants(destination, vec![(1000, 2)]))
                    .expect("it runs");
            }
            for relay in &mut relays {
                let granted = receive_grants(&mut relay.inputs, destination, 2).await;
                assert_eq!(granted, 2, "destination {destination}");
                relay.updates.send(FleetUpdate::RequestGrants(destination, vec![])).expect("it runs");
                let end = end_of_call(Outcome::Ok, clock.now());
                relay
                    .updates
                    .send(call_ended(destination, end.outcome, (end.began, clock.now()), &end.report))
                    .expect("it runs");
            }
        }
    }
}

#[tokio::test]
async fn grants_and_observations_share_one_link() {
    let clock = Clock::start();
    let all = unused_addresses(2);
    let first = start_relay(0, &all, Sharing::Whole, true, clock).await;
    let mut second = start_relay(1, &all, Sharing::Whole, true, clock).await;
    second.updates.send(FleetUpdate::Listed(vec![(5, 40.0)])).expect("it runs");
    first.updates.send(FleetUpdate::Listed(vec![(5, 40.0)])).expect("it runs");
    for _ in 0..4 {
        let end = end_of_call(Outcome::ConnectFailed, clock.now());
        first
            .updates
            .send(call_ended(5, end.outcome, (end.began, clock.now()), &end.report))
            .expect("it runs");
    }
    second.updates.send(FleetUpdate::RequestGrants(5, vec![(1000, 1)])).expect("it runs");
    let (mut grant_received, mut failing_reported) = (false, false);
    while !(grant_received && failing_reported) {
        match tokio::time::timeout(TEST_TIMEOUT, second.inputs.recv()).await.expect("both arrive") {
            Some(Input::Granted(given)) => grant_received |= given.grants > 0,
            Some(Input::PeerReport(report)) => {
                failing_reported |= matches!(report.condition, ObservedCondition::Failing(_))
            }
            _ => {}
        }
    }
}

#[tokio::test]
async fn a_relay_of_the_previous_build_receives_grants_from_this_build() {
    let clock = Clock::start();
    let all = unused_addresses(2);
    let coordinator = start_relay(0, &all, Sharing::Whole, false, clock).await;
    coordinator.updates.send(FleetUpdate::Listed(vec![(5, 40.0)])).expect("it runs");
    let old = tokio::net::UdpSocket::bind(all[1]).await.expect("the port is free");
    let mut buffer = [0; 512];
    let grant = async {
        for number in 1.. {
            let waiting = vec![(1000, 1)];
            let items = vec![Item::Request { destination: 5, seen: 0, stamp: None, relays: 0, waiting }];
            let datagram = Datagram { from: 1, incarnation: 1, number, items }.seal(&Keys::default());
            old.send_to(&datagram.expect("it has room"), all[0]).await.expect("sent");
            let received_datagram =
                tokio::time::timeout(Duration::from_millis(50), old.recv_from(&mut buffer)).await;
            let Ok(Ok((n, _))) = received_datagram else { continue };
            let datagram = Datagram::open(&buffer[..n], &Keys::default()).expect("in its own format");
            if datagram.items.iter().any(|item| matches!(item, Item::Grant { total: 1.., .. })) {
                return;
            }
        }
    };
    tokio::time::timeout(TEST_TIMEOUT, grant).await.expect("a grant arrives");
}
