//! Whole runs, small ones: the same counts each time, exactly.

use scale::measurement::{Measurement, Role, RoleCost};
use scale::progress::{Progress, Silent};
use scale::{RunError, Scenario, run};

fn scenario(text: &str) -> Scenario {
    Scenario::parse(text, "run.toml").expect("it makes sense")
}

const MEMBERS: &str = "relays = 12\ndestinations = 1\nroles = [\"member\"]\nwarm_up_s = 5\nseconds = 20\n";

const LIMITS: &str = r#"relays = 8
destinations = 20
events_per_s = 40
skew = 1
share_down = 0.1
mean_down_s = 5
roles = ["limit-coordinator"]
warm_up_s = 2
seconds = 5
[network]
loss = 0.01
duplicates = 0.01
"#;

fn all(text: &str) -> String {
    text.replace("[\"limit-coordinator\"]", "[\"member\", \"limit-coordinator\", \"health-observations\"]")
}

fn measured(text: &str, seed: u64) -> Measurement {
    run(&scenario(text), seed, &mut Silent).unwrap_or_else(|error| panic!("{error}"))
}

/// Role, messages and bytes: what is the same in each run.
fn counts(measurement: &Measurement) -> Vec<(Role, u64, u64)> {
    let count = |cost: &RoleCost| (cost.role, cost.messages, cost.bytes);
    measurement.roles.iter().map(count).collect()
}

#[test]
fn the_same_seed_gives_the_same_counts_and_another_gives_others() {
    let first = measured(&all(LIMITS), 5);
    let second = measured(&all(LIMITS), 5);
    assert_eq!(counts(&first), counts(&second));
    assert_eq!((first.events, first.permit_wait), (second.events, second.permit_wait));
    assert_ne!(counts(&first), counts(&measured(&all(LIMITS), 6)));
}

#[test]
fn costs_stand_in_proportion_to_counts() {
    let measurement = measured(LIMITS, 1);
    let cost = &measurement.roles[0];
    assert!((cost.bytes_per_s - cost.bytes as f64 / 5.0 / 8.0).abs() < 1e-6);
    assert!((cost.messages_per_s - cost.messages as f64 / 5.0 / 8.0).abs() < 1e-6);
    assert!(cost.peak_bytes_per_s >= cost.bytes_per_s && cost.cores > 0.0);
    assert_eq!(measurement.simulated_s, 5.0);
    assert!((150..250).contains(&measurement.events), "{} in five seconds of 40", measurement.events);
    assert!(measurement.permit_wait.count > 100 && measurement.permit_wait.max_us > 0);
}

#[test]
fn roles_together_are_counted_each_by_its_channel() {
    let measurement = measured(&all(LIMITS), 1);
    let roles: Vec<Role> = measurement.roles.iter().map(|cost| cost.role).collect();
    assert_eq!(roles, [Role::Member, Role::LimitCoordinator, Role::HealthObservations]);
    assert!(measurement.roles.iter().all(|cost| cost.bytes > 0), "{:?}", counts(&measurement));
}

#[test]
fn a_dead_relay_is_found_by_all_of_a_small_fleet() {
    let measurement = measured(&format!("{MEMBERS}[kill]\nat_s = 2\nshare = 0.25\n"), 1);
    assert_eq!((measurement.detection.count, measurement.undetected), (3, 0));
    // Two pings have no answer for a second each, and it is suspected for three seconds; who finds it first tells the others.
    let slowest = measurement.detection.max_us;
    assert!((5_000_000..7_000_000).contains(&slowest), "{slowest}");
    assert_eq!(measurement.false_alarms, 0);
}

#[test]
fn relays_that_restart_are_there_again_and_go_out_in_turns_where_there_are_seats() {
    let day = "[ordinary_day]\nrestarts = 100\nspeed_up = 300\nrestart_s = 2\n";
    let freely = measured(&format!("{MEMBERS}{day}"), 1);
    assert!(freely.maintenance.is_none() && freely.speed_up == 300.0);
    assert_eq!(
        (freely.detection.count, freely.false_alarms),
        (0, 0),
        "each is back before all take it for dead"
    );
    let in_turns = measured(&format!("maintenance_seats = 1\n{MEMBERS}{day}"), 1);
    let maintenance = in_turns.maintenance.expect("it is on");
    assert!(maintenance.turns >= 2 && maintenance.cost.bytes > 0, "{maintenance:?}");
}

#[test]
fn a_zone_that_was_dark_is_heard_again() {
    let zones = "[[region]]\nname = \"a\"\n[[zone]]\nname = \"a-1\"\nregion = \"a\"\n[[zone]]\nname = \"a-2\"\nregion = \"a\"\n";
    let members = MEMBERS.replace("warm_up_s = 5\nseconds = 20", "warm_up_s = 62\nseconds = 45");
    let dark_for = |seconds: f64| {
        let cut = format!("[[cut]]\nkind = \"dark\"\nzone = \"a-2\"\nfrom_s = 0\nfor_s = {seconds}\n");
        measured(&format!("{members}{zones}{cut}"), 1)
    };
    let whole = measured(&format!("{members}{zones}"), 1);
    assert_eq!(whole.false_alarms, 0);
    // Each five seconds it is looked who takes whom for dead, of those that reach each other. A tenth of a second after the
    // heal some of the 132 pairs do; two seconds after it, and at all later looks, none does.
    let cut = dark_for(17.9);
    assert!((1..=132).contains(&cut.false_alarms), "{}", cut.false_alarms);
    assert_eq!(dark_for(15.9).false_alarms, 0);
    // To the end of the run: what is passed on of the cut and its end costs bytes of its own.
    assert!(dark_for(45.0).roles[0].bytes < whole.roles[0].bytes, "who is gone is asked seldom");
}

#[test]
fn a_run_that_passes_its_real_time_ends_as_partial() {
    let scenario = Scenario { real_time_limit_s: 1e-6, ..scenario(MEMBERS) };
    match run(&scenario, 1, &mut Silent) {
        Err(RunError::Partial { measurement, wanted_s, .. }) => {
            assert!(measurement.simulated_s < wanted_s, "{}", measurement.simulated_s);
        }
        other => panic!("expected a partial run: {other:?}"),
    }
}

#[test]
fn a_run_that_needs_too_much_memory_is_refused() {
    let scenario = Scenario { relays: 60_000, destinations: 56_000, ..scenario(LIMITS) };
    let outcome = run(&scenario, 1, &mut Silent);
    assert!(matches!(outcome, Err(RunError::Memory { .. })), "{outcome:?}");
}

#[test]
fn a_role_that_is_not_run_here_is_refused() {
    let scenario = scenario(&MEMBERS.replace("member", "control-machine"));
    assert!(matches!(run(&scenario, 1, &mut Silent), Err(RunError::Role(Role::ControlMachine))));
}

#[test]
fn progress_goes_on_to_the_end() {
    #[derive(Default)]
    struct Parts(Vec<f64>);
    impl Progress for Parts {
        fn reached(&mut self, part: f64, _: &str) {
            self.0.push(part);
        }
    }
    let mut parts = Parts::default();
    run(&scenario(MEMBERS), 1, &mut parts).unwrap_or_else(|error| panic!("{error}"));
    assert!(parts.0.len() > 3 && parts.0.is_sorted(), "{:?}", parts.0);
    assert!(parts.0.iter().all(|part| (0.0..=1.0).contains(part)));
}

/// Whoever changes a core, or when the shell calls it, sees here what that costs; who means to, writes down the new counts.
#[test]
fn small_runs_send_exactly_this() {
    assert_eq!(counts(&measured(MEMBERS, 1)), [(Role::Member, 1182, 31917)]);
    let limits = measured(LIMITS, 1);
    assert_eq!(limits.events, 220);
    assert_eq!(counts(&limits), [(Role::LimitCoordinator, 1022, 37198)]);
    let together = [
        (Role::Member, 10, 270),
        (Role::LimitCoordinator, 1036, 37825),
        (Role::HealthObservations, 62, 2425),
    ];
    assert_eq!(counts(&measured(&all(LIMITS), 1)), together);
}

/// Without permits a relay paces its calls once a destination refuses, as the relay's rules do. One that tried all again at once
/// met rows of refusals, which are told as trouble: 214 bytes a second of observations here, where real processes take 51 to 55.
#[test]
fn calls_without_permits_are_paced_once_a_destination_refuses() {
    let observations = r#"relays = 3
destinations = 20
roles = ["member", "health-observations"]
signed = false
warm_up_s = 12
seconds = 60
events_per_s = 16
limit_headroom = 1.25
answer_ms = 40
[network]
same_zone_ms = 2
jitter = 10
"#;
    let measurement = measured(observations, 1);
    let bytes_per_s = |role: Role| {
        let cost = measurement.roles.iter().find(|cost| cost.role == role).expect("the role");
        cost.bytes_per_s
    };
    assert!((20.0..80.0).contains(&bytes_per_s(Role::HealthObservations)), "{:?}", counts(&measurement));
}
