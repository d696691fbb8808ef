//! Clients: an open loop that hands messages in at intended times, whatever became of earlier ones. A client whose
//! relay does not answer goes to another with a new id, as the platform's front has it. It must never wait for one
//! message before it hands in the next.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::Request;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use rand_distr::{Distribution, Exp};
use tokio::task::JoinSet;

use crate::audit::{AGAIN, Book, Sent, Unanswered};
use crate::clock::Clock;
use crate::fleet::Net;
use crate::front::Front;
use crate::http::{Caller, caller};
use crate::scenario::{Load, Scenario};

/// A client waits so long for an answer.
const ANSWER_WITHIN: Duration = Duration::from_millis(400);
/// It hands a message in at so many relays in all.
const RELAYS_TRIED: usize = 3;
/// One that comes again as it is told does so at the most so many times.
const MOST_AGAIN: usize = 3;

/// The body of a message, which no other has.
pub fn body(id: &str) -> Bytes {
    Bytes::from(format!("{id:.<200}"))
}

/// The idempotency key of a message, which no other has.
pub fn key(id: &str) -> String {
    format!("key of {id}")
}

/// How much later than intended messages left, in milliseconds.
#[derive(Clone, Debug, Default)]
pub struct Lag(Vec<u64>);

impl Lag {
    /// One in a hundred left later than this.
    pub fn p99_ms(&mut self) -> u64 {
        self.0.sort_unstable();
        self.0.get(self.0.len() * 99 / 100).copied().unwrap_or(0)
    }
}

/// A message that is to be handed in.
#[derive(Clone, Debug, PartialEq)]
pub struct Intended {
    /// When, in seconds of the play.
    pub at_s: f64,
    /// At which relay first.
    pub relay: usize,
    /// For which partner.
    pub partner: usize,
    /// It must not take effect twice.
    pub once: bool,
    /// Where this lies under the part of clients that come again, its client does.
    pub drawn: f64,
}

/// All messages of a play, drawn from the seed before it begins.
pub fn intended(scenario: &Scenario, seed: u64) -> Vec<Intended> {
    let mut rng = SmallRng::seed_from_u64(seed);
    let Load { per_s, paid_extra, skew, surge, only, .. } = &scenario.load;
    let shares: Vec<f64> = scenario.each_partner().iter().map(|partner| partner.per_s).collect();
    let relays: Vec<f64> = (0..scenario.relays)
        .map(|relay| match () {
            () if !only.is_empty() && !only.contains(&relay) => 0.0,
            () if relay == 0 => *skew,
            () => 1.0,
        })
        .collect();
    let (mut at_s, mut all) = (0.0, Vec::new());
    loop {
        let surging = surge.iter().find(|surge| (surge.from_s..surge.to_s).contains(&at_s));
        let rate = per_s * surging.map_or(1.0, |surge| surge.times);
        let Ok(gaps) = Exp::new(rate) else { return all };
        at_s += gaps.sample(&mut rng);
        if at_s >= scenario.seconds {
            return all;
        }
        let (relay, partner) = (pick(&relays, &mut rng), pick(&shares, &mut rng));
        let once = rng.random_bool(*paid_extra);
        all.push(Intended { at_s, relay, partner, once, drawn: rng.random_range(0.0..1.0) });
    }
}

fn pick(weights: &[f64], rng: &mut SmallRng) -> usize {
    let mut left = rng.random_range(0.0..weights.iter().sum::<f64>().max(f64::MIN_POSITIVE));
    let found = weights.iter().position(|weight| {
        left -= weight;
        left < 0.0
    });
    found.unwrap_or(weights.len().saturating_sub(1))
}

/// Hands all in; where they left late, the machine could not keep up.
pub async fn run(
    scenario: Arc<Scenario>, net: Net, seed: u64, clock: Clock, book: Book, front: Front,
) -> Lag {
    let mut lag = Lag::default();
    let caller = caller();
    let mut clients = JoinSet::new();
    for (number, intended) in intended(&scenario, seed).into_iter().enumerate() {
        clock.until(intended.at_s).await;
        let late = clock.now_s() - intended.at_s;
        lag.0.push((late * 1000.0) as u64);
        let (scenario, net, clock) = (scenario.clone(), net.clone(), clock.clone());
        let (caller, book, front) = (caller.clone(), book.clone(), front.clone());
        clients.spawn(async move {
            let client =
                Client { scenario: &scenario, net: &net, front: &front, caller: &caller, clock, book: &book };
            client.serve(number, &intended).await;
        });
        while clients.try_join_next().is_some() {}
    }
    while clients.join_next().await.is_some() {}
    lag
}

/// One client.
struct Client<'a> {
    scenario: &'a Scenario,
    net: &'a Net,
    front: &'a Front,
    caller: &'a Caller,
    clock: Clock,
    book: &'a Book,
}

impl Client<'_> {
    /// Hands a message in, and again as it is told where it is one of those that come back.
    async fn serve(&self, number: usize, intended: &Intended) {
        let due_s = intended.at_s + self.scenario.load.time_left_ms as f64 / 1000.0;
        let comes_back = intended.drawn < self.scenario.load.come_back;
        let mut told = self.hand_in(&format!("m{number:x}"), intended, due_s).await;
        for times in 1..=MOST_AGAIN {
            let Some(Told { id, after }) = told.filter(|_| comes_back) else { return };
            let after = match after {
                Some(after) => Some(after),
                None => self.told_later(&id, due_s).await,
            };
            let Some(after) = after.filter(|after| self.clock.now_s() + after < due_s) else { return };
            tokio::time::sleep(Duration::from_secs_f64(after)).await;
            told = self.hand_in(&format!("m{number:x}{AGAIN}{times}"), intended, due_s).await;
        }
    }

    /// How long to stay away, where the message is handed back while it may still be delivered.
    async fn told_later(&self, id: &str, due_s: f64) -> Option<f64> {
        let left = Duration::from_secs_f64((due_s - self.clock.now_s()).max(0.0));
        let told = tokio::time::timeout(left, self.book.handed_back(id)).await;
        told.ok()?.ok()?.map(|ms| ms as f64 / 1000.0)
    }

    async fn hand_in(&self, name: &str, intended: &Intended, due_s: f64) -> Option<Told> {
        let Client { scenario, net, front, caller, clock, book } = self;
        for tried in 0..RELAYS_TRIED {
            let relay = front.sends_to((intended.relay + tried * 5) % scenario.relays);
            let id = format!("{name}-{tried}");
            let at_s = clock.now_s();
            let left_ms = ((due_s - at_s) * 1000.0) as i64;
            if left_ms <= 0 {
                return None;
            }
            let sent = Sent { relay, partner: intended.partner, once: intended.once, at_s, due_s, status: 0 };
            book.with(|log| log.sent.insert(id.clone(), sent));
            let class = if intended.once { "paid-extra" } else { "status-update" };
            let request = Request::post(format!("http://{}/{class}", net.clients(relay)))
                .header("X-Correlation-Id", &id)
                .header("X-Account", "desk")
                .header("X-Time-Left", format!("{left_ms}m"))
                .header("X-Addressing", format!("dest={}", intended.partner))
                .header("Idempotency-Key", key(&id))
                .body(Full::new(body(&id)));
            let request = request.ok()?;
            let answer = tokio::time::timeout(ANSWER_WITHIN, caller.request(request)).await;
            let unanswered = match &answer {
                Ok(Ok(_)) => None,
                Ok(Err(error)) if error.is_connect() => None,
                Ok(Err(error)) => Some(format!("{error:?}")),
                Err(_) => Some("no answer in time".into()),
            };
            if let Some(why) = unanswered {
                let ended_s = clock.now_s();
                book.with(|log| {
                    log.unanswered.push(Unanswered { id: id.clone(), relay, at_s, ended_s, why })
                });
            }
            if let Ok(Ok(answer)) = answer {
                let status = answer.status().as_u16();
                book.with(|log| {
                    log.sent.entry(id.clone()).and_modify(|sent| sent.status = status);
                });
                let after = answer.headers().get(hyper::header::RETRY_AFTER);
                let after = after.and_then(|after| after.to_str().ok()?.parse().ok());
                // One that is turned away with no word when to come again does not come again.
                return (status == 202 || after.is_some()).then_some(Told { id, after });
            }
        }
        None
    }
}

/// What a client was told: when to come again, if at once.
struct Told {
    id: String,
    after: Option<f64>,
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn what_is_handed_in_comes_of_the_seed_and_keeps_to_the_load() {
        let text = "about = \"x\"\nrelays = 4\nseconds = 100\n[load]\nper_s = 50\nskew = 3.0\n\
            surge = [{from_s = 50, to_s = 60, times = 3}]\n[[partner]]\nper_s = 4\ncount = 2\n";
        let scenario = Scenario::read(text).expect("it makes sense");
        let all = intended(&scenario, 7);
        assert_eq!(all, intended(&scenario, 7));
        assert_ne!(all, intended(&scenario, 8));
        let within = |from: f64, to: f64| all.iter().filter(|m| (from..to).contains(&m.at_s)).count();
        assert!((2300..2700).contains(&within(0.0, 50.0)), "{}", within(0.0, 50.0));
        assert!((1300..1700).contains(&within(50.0, 60.0)), "{}", within(50.0, 60.0));
        let first = all.iter().filter(|m| m.relay == 0).count() as f64 / all.len() as f64;
        assert!((first - 0.5).abs() < 0.05, "{first}");
    }
}
