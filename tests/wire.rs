//! Wire lines to interface types and back.

use tulipfall::interface::*;
use tulipfall::wire::{self, Fields, Names, RawEntry};

const SETTINGS: &str = "Classes.count=2 Classes.0.AimUs=4000000 Classes.0.DeadlineUs=16000000 \
    Classes.0.Idempotency=deduplicated Classes.0.DedupWindowUs=5000000 Classes.0.Group=zone \
    Classes.0.LateWorth=0.4 Classes.0.Name=update Classes.0.Value=1.5 Classes.1.AimUs=2000000 \
    Classes.1.DeadlineUs=28000000 Classes.1.FifoByKey=true Classes.1.Idempotency=at_most_once \
    Classes.1.Name=pay Classes.1.Value=3.0 Discovery=ask Domain.FeeByZone=0.5 Domain.KindApart=false,true \
    Domain.KindBatch=5,1 Domain.Late=by_half Domain.MaxCalls=11 HostTypes=lines,routes \
    Limits.Cancel=true Limits.ConnIdleUs=5000000 Limits.ConnectTimeoutUs=1000000 Limits.MaxAttempts=8 \
    Limits.MaxRetryAfterUs=3000000 Limits.OpenCap=200 Limits.Probes=false Limits.RetryAfter=true \
    PeersTotal=2 OverShareWorth=0.1 Rules.AskEveryUs=10000000 Rules.ColdFrom=0.18 Rules.ColdUs=11000000 \
    Rules.FallMultiple=2.5 Rules.OverloadForUs=1500000 Rules.StopSendingWithinUs=2000000 \
    Tenants.count=1 Tenants.0.Name=north Tenants.0.QuotaPerS=2.5 Unknown.Key=7 Weights=rough Zones=a";

fn instance() -> (Settings, Names) {
    wire::settings(SETTINGS).expect("readable")
}

/// An instance that knows target `10.0.0.1:9` and holds message `c:1`.
fn busy() -> Names {
    let (_, mut names) = instance();
    let entry =
        RawEntry::parse(&mut Fields::new("ENTRY lines in_service 57 - a 1.5 10.0.0.1:9")).expect("entry");
    names.entries(&[entry]).expect("known kind");
    event(&mut names, "ARRIVAL 3 c:1 pay - k 8652250 12000 57 1");
    names
}

fn event(names: &mut Names, line: &str) -> Option<Event> {
    let mut fields = Fields::new(line);
    let _: u64 = fields.number("Who").expect("instance");
    names.event(&mut fields).expect("readable")
}

#[test]
fn settings_are_read_and_unknown_keys_passed_over() {
    let (settings, _) = instance();
    assert_eq!(settings.classes[0].effect, Effect::Keyed { window: 5_000_000, scope: DedupScope::Zone });
    assert_eq!(settings.classes[1].effect, Effect::NonIdempotent);
    assert!(settings.classes[1].in_order && !settings.classes[0].in_order);
    assert_eq!(
        settings.kinds,
        [Kind { separate_routes: false, max_batch: 5 }, Kind { separate_routes: true, max_batch: 1 }]
    );
    assert_eq!(settings.late_decay, LateDecay::Halving);
    assert_eq!((settings.slots, settings.max_held, settings.senders), (11, 200, 2));
    assert_eq!(settings.max_retry_after, Some(3_000_000));
    assert_eq!(settings.list_request_interval, Some(10_000_000));
    assert!(settings.listed_rates);
    assert_eq!(settings.rules.settle_time, 0, "an optional key");
    assert_eq!(settings.tenants, [Tenant { quota: 2.5 }]);
}

#[test]
fn a_missing_or_unreadable_setting_is_named() {
    let without = SETTINGS.replace("Domain.MaxCalls=11", "");
    assert_eq!(wire::settings(&without).unwrap_err().to_string(), "setting Domain.MaxCalls is missing");
    let odd = SETTINGS.replace("Limits.OpenCap=200", "Limits.OpenCap=many");
    let message = wire::settings(&odd).unwrap_err().to_string();
    assert!(message.contains("Limits.OpenCap") && message.contains("many"), "{message}");
    let odd = SETTINGS.replace("at_most_once", "sometimes");
    let message = wire::settings(&odd).unwrap_err().to_string();
    assert!(message.contains("Classes.1.Idempotency") && message.contains("at_most_once"), "{message}");
}

#[test]
fn events_are_read() {
    let (_, mut names) = instance();
    let Some(Event::Arrival(arrival)) = event(&mut names, "ARRIVAL 3 c:1 update north k 8652250 12000 57 1")
    else {
        panic!("an arrival");
    };
    assert_eq!((arrival.class, arrival.tenant, arrival.due), (0, Some(0), 8_652_250));
    assert_eq!(arrival.key.as_deref(), Some("k"));
    assert_eq!(arrival.destination, DestinationId(57));
    let mut names = busy();
    let done = event(&mut names, "DONE 3 c:1 2 10.0.0.1:9 busy 18500 0 250 x0:0.5,x1:7.25,cpu:1");
    let expected = AttemptResult {
        id: MessageId(1),
        attempt: 2,
        target: TargetId(0),
        outcome: Outcome::Full(Some(250_000)),
        elapsed: 18_500,
        decision: Verdict::Owed { may_have_run: false },
        report: LimitReport { remaining_fraction: Some(0.5), limit: Some(7.25), requested_wait: None },
    };
    assert_eq!(done, Some(Event::AttemptEnded(expected)));
    assert_eq!(event(&mut names, "ALARM 3 77"), Some(Event::Timer(77)));
    assert_eq!(event(&mut names, "HANGUP 3 c:1"), Some(Event::Withdrawn(MessageId(1))));
    assert_eq!(event(&mut names, "HANGUP 3 c:1"), None, "no longer held");
    assert_eq!(event(&mut names, "DONE 3 c:9 0 10.0.0.1:9 done 5 1 - -"), None, "never held");
}

#[test]
fn malformed_lines_are_named() {
    let mut names = busy();
    let mut error = |line: &str| {
        let mut fields = Fields::new(line);
        let _: u64 = fields.number("Who").expect("instance");
        names.event(&mut fields).unwrap_err().to_string()
    };
    assert!(error("ARRIVAL 3 c:2 unheard - - 8652250 - 57 1").contains("Category"));
    assert!(error("ARRIVAL 3 c:2 update - - soon - 57 1").contains("DueUs"));
    assert!(error("DONE 3 c:1 0 10.0.0.1:9 exploded 5 1 - -").contains("exploded"));
    assert!(error("SURPRISE 3 1").contains("SURPRISE"));
    assert!(RawEntry::parse(&mut Fields::new("ENTRY lines ill 57 - a 1 x")).is_err());
}

#[test]
fn actions_are_written() {
    let mut names = busy();
    let mut out = String::new();
    let id = MessageId(1);
    let actions = [
        Action::Send { id, target: TargetId(0), timeout: 80_000, send_by: 90_000 },
        Action::Cancel { id, attempt: 0 },
        Action::SetTimer { token: 77, after: 500_000 },
        Action::Probe(TargetId(0)),
        Action::SubscribeList,
        Action::Refuse { id, retry_after: Some(9) },
    ];
    for action in &actions {
        names.action(3, action, &mut out);
    }
    let lines: Vec<&str> = out.lines().collect();
    let expected = [
        "TRY 3 c:1 10.0.0.1:9 80000",
        "CANCEL 3 c:1 0",
        "SLEEP 3 77 500000",
        "TOUCH 3 10.0.0.1:9",
        "STREAM_CHANGES 3 1",
        "SAY_NO 3 c:1 9",
    ];
    assert_eq!(lines, expected);
    // Its attempt is still out, so the name is kept for the outcome, and forgotten after it.
    assert!(event(&mut names, "DONE 3 c:1 0 10.0.0.1:9 done 5 1 - -").is_some());
    assert_eq!(event(&mut names, "DONE 3 c:1 0 10.0.0.1:9 done 5 1 - -"), None);
}
