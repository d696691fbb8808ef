//! Drives the module with scripted events and a scripted clock.
#![allow(dead_code)]

use tulipfall::interface::*;
use tulipfall::rules::Relay;

pub const MS: Micros = 1_000;
pub const S: Micros = 1_000_000;

/// Indexes of the classes in [`settings`].
pub const SAFE: usize = 0;
pub const KEYED: usize = 1;
pub const UNSAFE: usize = 2;
pub const PRECIOUS: usize = 3;

pub fn settings() -> Settings {
    let class = |worth, effect, in_order| Class {
        worth,
        aim: 2 * S,
        deadline: 20 * S,
        late_worth: 0.4,
        effect,
        in_order,
    };
    Settings {
        classes: vec![
            class(1.0, Effect::Safe, false),
            class(1.0, Effect::Keyed { window: 6 * S, group: Group::All }, false),
            class(1.0, Effect::Unsafe, true),
            class(3.0, Effect::Safe, true),
        ],
        kinds: vec![
            Kind { apart: false, batch: 1 },
            Kind { apart: false, batch: 5 },
            Kind { apart: true, batch: 1 },
        ],
        tenants: vec![Tenant { quota: 2.0 }],
        over_share_worth: 0.1,
        late: LateForm::Even,
        slots: 10,
        max_held: 100,
        max_attempts: 6,
        senders: 1,
        connect_timeout: S,
        connection_idle: 5 * S,
        longest_advice: Some(3 * S),
        probes: false,
        cancel: true,
        listed_rates: true,
        stewards: false,
        repeats: false,
        shares: false,
        ask_every: None,
        zone_fee: vec![0.0, 0.0],
        rules: RuleFigures {
            cold_from: 0.2,
            cold: 10 * S,
            fall_multiple: 2.0,
            fall_window: 2 * S,
            drain_grace: 2 * S,
            settle: 100 * MS,
        },
    }
}

pub struct Rig {
    pub relay: Relay,
    pub now: Micros,
    pub last: Vec<Action>,
    /// Attempts made, by message.
    attempts: std::collections::BTreeMap<u64, u32>,
    timer: Option<(Micros, u64)>,
}

pub fn entry(target: u32, destination: i64, rate: f64) -> Entry {
    Entry {
        target: TargetId(target),
        destination: DestinationId(destination),
        kind: 0,
        zone: 0,
        listed: Listed::InService,
        rate,
    }
}

impl Rig {
    pub fn new(settings: Settings) -> Self {
        let relay = Relay::new(settings, 7).expect("sound settings");
        Rig { relay, now: 50 * S, last: vec![], attempts: Default::default(), timer: None }
    }

    /// With endpoint 1 of destination 1, and endpoint 2 of destination 2, both at 4 calls a second.
    pub fn listed(settings: Settings) -> Self {
        let mut rig = Rig::new(settings);
        rig.list(ListForm::All, vec![entry(1, 1, 4.0), entry(2, 2, 4.0)]);
        rig
    }

    pub fn two() -> Self {
        Rig::listed(settings())
    }

    /// The same, where no destination can be pushed over: the guard on fail-back binds nothing.
    pub fn sturdy() -> Self {
        let rules = RuleFigures { cold_from: 1.0, fall_multiple: 100.0, ..settings().rules };
        Rig::listed(Settings { rules, ..settings() })
    }

    pub fn event(&mut self, event: Event) -> Vec<Action> {
        let mut actions = vec![];
        self.relay.handle(self.now, event, &mut actions);
        for action in &actions {
            match action {
                Action::Timer { token, after } => self.timer = Some((self.now + after, *token)),
                Action::Send { id, .. } => *self.attempts.entry(id.0).or_default() += 1,
                _ => {}
            }
        }
        self.last.clone_from(&actions);
        actions
    }

    pub fn list(&mut self, form: ListForm, entries: Vec<Entry>) -> Vec<Action> {
        self.event(Event::List(form, entries))
    }

    pub fn arrive(&mut self, id: u64, class: usize, destination: i64) -> Vec<Action> {
        self.arrive_keyed(id, class, destination, None)
    }

    pub fn arrive_keyed(
        &mut self, id: u64, class: usize, destination: i64, key: Option<&str>,
    ) -> Vec<Action> {
        self.event(Event::Arrival(Arrival {
            id: MessageId(id),
            class,
            tenant: None,
            key: key.map(Into::into),
            due: self.now + 20 * S,
            destination: DestinationId(destination),
        }))
    }

    pub fn done(&mut self, id: u64, target: u32, outcome: Outcome) -> Vec<Action> {
        self.judged(id, target, outcome, outcome.verdict())
    }

    /// An attempt ended, with a verdict that its outcome alone would not give.
    pub fn judged(&mut self, id: u64, target: u32, outcome: Outcome, verdict: Decision) -> Vec<Action> {
        let attempt = self.attempts.get(&id).copied().unwrap_or(1) - 1;
        self.event(Event::Done(Done {
            id: MessageId(id),
            attempt,
            target: TargetId(target),
            outcome,
            took: 100 * MS,
            verdict,
            report: Report::default(),
        }))
    }

    /// Lets time pass and fires the timers that come due; all actions of that time with their times.
    pub fn pass(&mut self, span: Micros) -> Vec<(Micros, Action)> {
        let until = self.now + span;
        let mut all = vec![];
        while let Some((at, token)) = self.timer.filter(|(at, _)| *at <= until) {
            self.now = at.max(self.now);
            self.timer = None;
            let now = self.now;
            all.extend(self.event(Event::Timer(token)).into_iter().map(|action| (now, action)));
        }
        self.now = until;
        all
    }
}

/// The messages sent, in order.
pub fn sent(actions: &[Action]) -> Vec<u64> {
    let id = |action: &Action| match action {
        Action::Send { id, .. } => Some(id.0),
        _ => None,
    };
    actions.iter().filter_map(id).collect()
}

/// The messages sent, with their times.
pub fn sent_at(actions: &[(Micros, Action)]) -> Vec<(Micros, u64)> {
    actions
        .iter()
        .flat_map(|(at, action)| sent(std::slice::from_ref(action)).into_iter().map(|id| (*at, id)))
        .collect()
}

/// The messages given up: id, and whether refused.
pub fn ended(actions: &[Action]) -> Vec<(u64, bool)> {
    let end = |action: &Action| match action {
        Action::Refuse { id, .. } => Some((id.0, true)),
        Action::Fail(id) => Some((id.0, false)),
        _ => None,
    };
    actions.iter().filter_map(end).collect()
}

pub fn only(actions: Vec<(Micros, Action)>) -> Vec<Action> {
    actions.into_iter().map(|(_, action)| action).collect()
}
