//! Partners: destinations with a limit, which refuse, report, shut, fail and return cold by the scenario. [`Terms`]
//! decides what a call gets, without I/O; the shell listens at one address for each relay, so that it knows who calls.
//! It must never count a call before its last byte has come.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use crate::audit::{Book, Call, Got};
use crate::clock::Clock;
use crate::fleet::Net;
use crate::http;
use crate::load;
use crate::scenario::{Partners, Scenario, What};

/// A destination that returns cold has this part of its capacity.
pub const COLD_FROM: f64 = 0.16;
/// It falls over when it is sent more than so many times its present capacity ...
pub const FALLS_AT: f64 = 2.0;
/// ... for so long.
pub const FALLS_AFTER_S: f64 = 2.0;

/// What the scenario has done to a partner or its callers at a moment.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Trouble {
    /// It refuses all.
    pub shut: bool,
    /// It fails quickly by this chance.
    pub fails: f64,
    /// It takes this part of its limit.
    pub lowered: f64,
    /// This caller hears nothing from it.
    pub silent: bool,
}

/// What befalls a call of a relay to a partner then.
pub fn trouble(scenario: &Scenario, at_s: f64, partner: usize, relay: usize) -> Trouble {
    let mut trouble = Trouble { shut: false, fails: 0.0, lowered: 1.0, silent: false };
    for what in scenario.broken(at_s) {
        match what {
            What::Shut { partners } => trouble.shut |= partners.contains(&partner),
            What::Fails { partners, part } if partners.contains(&partner) => trouble.fails = *part,
            What::Lower { partners, to } if partners.contains(&partner) => trouble.lowered = *to,
            What::Silent { relays } => trouble.silent |= relays.contains(&relay),
            _ => {}
        }
    }
    trouble
}

/// What a partner remembers of its callers.
#[derive(Clone, Debug)]
pub struct Terms {
    partner: Partners,
    counted: VecDeque<f64>,
    all: VecDeque<f64>,
    was_shut: bool,
    back: Option<f64>,
    over_since: Option<f64>,
}

/// What a call gets, and what it is told beside it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Verdict {
    /// What it gets.
    pub got: Got,
    /// The share of the allowance that is left.
    pub left: f64,
    /// The limit then, in calls a second.
    pub limit: f64,
    /// It was returning cold, and has been sent too much for too long.
    pub pushed_over: bool,
}

impl Terms {
    /// A partner that nobody has called yet.
    pub fn new(partner: Partners) -> Self {
        let (counted, all) = (VecDeque::new(), VecDeque::new());
        Terms { partner, counted, all, was_shut: false, back: None, over_since: None }
    }

    /// What a call gets that comes whole at `at_s`; `drawn` is in `0.0..1.0`.
    pub fn call(&mut self, at_s: f64, trouble: &Trouble, drawn: f64) -> Verdict {
        let span = self.partner.span_s;
        let old = |at: &f64| at_s - at >= span;
        while self.counted.front().is_some_and(old) {
            self.counted.pop_front();
        }
        while self.all.front().is_some_and(|at| at_s - at >= 1.0) {
            self.all.pop_front();
        }
        self.all.push_back(at_s);
        if self.was_shut && !trouble.shut && self.partner.cold_s > 0.0 {
            self.back = Some(at_s);
        }
        self.was_shut = trouble.shut;
        let warmed = self.back.map_or(1.0, |back| {
            (COLD_FROM + (1.0 - COLD_FROM) * (at_s - back) / self.partner.cold_s.max(0.001)).min(1.0)
        });
        let limit = self.partner.per_s * trouble.lowered * warmed;
        // Calls of the last second against what it bears, for as long as it warms.
        let over = warmed < 1.0 && self.all.len() as f64 > (FALLS_AT * limit).max(2.0);
        self.over_since = if over { Some(self.over_since.unwrap_or(at_s)) } else { None };
        let pushed_over = self.over_since.is_some_and(|since| at_s - since >= FALLS_AFTER_S);
        if pushed_over {
            (self.back, self.over_since) = (Some(at_s), None);
        }
        let room = (self.counted.len() as f64) < (limit * span).max(1.0);
        let got = match () {
            () if trouble.silent => Got::Nothing,
            () if trouble.shut || !room => Got::Refused,
            () if drawn < trouble.fails => Got::Failed,
            () if drawn < trouble.fails + self.partner.over => Got::Over,
            () if drawn < trouble.fails + self.partner.over + self.partner.spent => Got::Spent,
            () => Got::Delivered,
        };
        if matches!(got, Got::Delivered | Got::Failed) || got == Got::Refused && self.partner.refusals_count {
            self.counted.push_back(at_s);
        }
        let left = (1.0 - self.counted.len() as f64 / (limit * span).max(1.0)).max(0.0);
        Verdict { got, left, limit, pushed_over }
    }
}

/// Starts all partners of a scenario.
///
/// # Errors
/// Where a socket is not to be had.
pub async fn start_all(
    scenario: &Arc<Scenario>, seed: u64, clock: &Clock, net: &Net, book: &Book,
) -> std::io::Result<()> {
    for number in 0..scenario.each_partner().len() {
        let listens: Vec<_> = (0..scenario.relays).map(|relay| net.partner(relay, number)).collect();
        let seed = seed ^ ((number as u64 + 1) << 40);
        start(scenario.clone(), number, seed, clock.clone(), &listens, book.clone()).await?;
    }
    Ok(())
}

/// Starts a partner that listens for each relay at an address of its own.
///
/// # Errors
/// Where a socket is not to be had.
pub async fn start(
    scenario: Arc<Scenario>, number: usize, seed: u64, clock: Clock, listens: &[SocketAddr], book: Book,
) -> std::io::Result<()> {
    let Some(partner) = scenario.each_partner().get(number).cloned() else { return Ok(()) };
    let terms = Arc::new(Mutex::new((Terms::new(partner.clone()), SmallRng::seed_from_u64(seed))));
    for (relay, at) in listens.iter().enumerate() {
        let (scenario, clock) = (scenario.clone(), clock.clone());
        let (terms, partner, book) = (terms.clone(), partner.clone(), book.clone());
        http::serve(*at, move |request| {
            let (scenario, clock) = (scenario.clone(), clock.clone());
            let (terms, partner, book) = (terms.clone(), partner.clone(), book.clone());
            async move {
                let id = http::header(&request, "X-Correlation-Id").to_string();
                let key = http::header(&request, "Idempotency-Key").to_string();
                let Some(body) = http::body(request).await.filter(|_| !id.is_empty()) else {
                    return http::answer(400, "");
                };
                let at_s = clock.now_s();
                note_unknown(&book, &id, number, (&key, &body), at_s);
                let trouble = trouble(&scenario, at_s, number, relay);
                let (verdict, work_ms, noise) = {
                    let mut terms = terms.lock().unwrap_or_else(PoisonError::into_inner);
                    let (terms, rng) = &mut *terms;
                    let verdict = terms.call(at_s, &trouble, rng.random_range(0.0..1.0));
                    let [least, most] = partner.work_ms;
                    (verdict, rng.random_range(least..=most), rng.random_range(-1.0..=1.0))
                };
                let Verdict { got, left, limit, pushed_over } = verdict;
                let call = Call { id, partner: number, relay, at_s, shut: trouble.shut, got, pushed_over };
                let open = book.called(call);
                let mut answer = match got {
                    Got::Nothing => std::future::pending().await,
                    Got::Refused if partner.wait_ms > 0 => http::answer(429, ""),
                    Got::Refused => http::answer(503, ""),
                    Got::Failed => http::answer(500, ""),
                    Got::Delivered | Got::Over | Got::Spent => {
                        tokio::time::sleep(Duration::from_secs_f64(work_ms / 1000.0)).await;
                        let status = match got {
                            Got::Over => 410,
                            Got::Spent => 504,
                            _ => 200,
                        };
                        http::answer(status, "")
                    }
                };
                if partner.wait_ms > 0 && got == Got::Refused {
                    let wait = format!("{}", partner.wait_ms as f64 / 1000.0);
                    answer.headers_mut().extend([(hyper::header::RETRY_AFTER, value(&wait))]);
                }
                if let Some(part) = partner.report_noise {
                    let told = format!("x0={left:.3},x1={:.3}", limit * (1.0 + part * noise));
                    let name = hyper::header::HeaderName::from_static("x-backend-load");
                    answer.headers_mut().insert(name, value(&told));
                }
                drop(open);
                answer
            }
        })
        .await?;
    }
    Ok(())
}

/// Notes a call whose message, body or key is not as a client sent it.
fn note_unknown(book: &Book, id: &str, partner: usize, (key, body): (&str, &[u8]), at_s: f64) {
    book.with(|log| {
        let sent = log.sent.get(id).is_some_and(|sent| sent.partner == partner);
        if !sent || key != load::key(id) || body != load::body(id) {
            log.unknown_calls.push(format!("{id:?} at partner {partner}, {at_s:.3} s, with key {key:?}"));
        }
    });
}

fn value(text: &str) -> hyper::header::HeaderValue {
    hyper::header::HeaderValue::from_str(text).unwrap_or(hyper::header::HeaderValue::from_static(""))
}

#[cfg(test)]
mod tests {
    use super::*;

    const WELL: Trouble = Trouble { shut: false, fails: 0.0, lowered: 1.0, silent: false };

    fn partner(refusals_count: bool, cold_s: f64) -> Terms {
        Terms::new(Partners {
            count: 1,
            per_s: 4.0,
            span_s: 1.0,
            refusals_count,
            wait_ms: 0,
            report_noise: None,
            cold_s,
            listed: true,
            over: 0.0,
            spent: 0.0,
            work_ms: [0.0, 0.0],
        })
    }

    fn taken(terms: &mut Terms, at_s: f64, calls: usize) -> usize {
        (0..calls).filter(|_| terms.call(at_s, &WELL, 0.5).got == Got::Delivered).count()
    }

    #[test]
    fn it_takes_its_limit_in_any_second_and_refusals_may_use_it_up() {
        let mut lenient = partner(false, 0.0);
        assert_eq!([0.0, 0.9, 1.0].map(|at| taken(&mut lenient, at, 9)), [4, 0, 4]);
        let mut strict = partner(true, 0.0);
        assert_eq!([0.0, 0.9, 1.0].map(|at| taken(&mut strict, at, 9)), [4, 0, 0]);
    }

    #[test]
    fn one_that_returns_cold_takes_little_and_falls_over_when_it_is_pushed() {
        let mut terms = partner(false, 10.0);
        let shut = Trouble { shut: true, ..WELL };
        assert_eq!(terms.call(0.0, &shut, 0.5).got, Got::Refused);
        assert_eq!(taken(&mut terms, 1.0, 9), 1);
        let fell = (0..40).filter(|n| terms.call(1.1 + 0.1 * f64::from(*n), &WELL, 0.5).pushed_over).count();
        assert!(fell > 0, "ten calls a second for four seconds");
        let mut gently = partner(false, 10.0);
        gently.call(0.0, &shut, 0.5);
        assert!((0..40).all(|n| !gently.call(1.0 + f64::from(n), &WELL, 0.5).pushed_over));
    }
}
