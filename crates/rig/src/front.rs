//! The front before the relays, as clients have it: it asks each relay whether it is ready, and sends clients to one that
//! is. Owns what it saw of each and when. It must never send a client to a relay that said no if another says yes.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::Request;

use crate::audit::{Book, Span};
use crate::clock::Clock;
use crate::fleet::Net;
use crate::http::caller;

/// Each relay is asked so often, and answers within this or is not ready.
const ASKED: Duration = Duration::from_millis(100);
const ANSWERS: Duration = Duration::from_millis(400);

/// Who is ready.
#[derive(Clone, Debug)]
pub struct Front(Arc<Vec<AtomicBool>>);

impl Front {
    /// A front that takes all for ready and asks nobody.
    pub fn blind(relays: usize) -> Self {
        Front(Arc::new((0..relays).map(|_| AtomicBool::new(true)).collect()))
    }

    /// A front that asks until the runtime ends.
    pub fn watching(relays: usize, net: &Net, clock: &Clock, book: &Book) -> Self {
        let front = Self::blind(relays);
        for relay in 0..relays {
            tokio::spawn(front.clone().watch(relay, net.clone(), clock.clone(), book.clone()));
        }
        front
    }

    async fn watch(self, relay: usize, net: Net, clock: Clock, book: Book) {
        let caller = caller();
        let mut since: Option<f64> = None;
        loop {
            let asked_s = clock.now_s();
            let ask = Request::get(format!("http://{}/health/ready", net.clients(relay)));
            let Ok(ask) = ask.body(Full::new(Bytes::new())) else { return };
            let answer = tokio::time::timeout(ANSWERS, caller.request(ask)).await;
            let ready = matches!(&answer, Ok(Ok(answer)) if answer.status().is_success());
            if let Some(place) = self.0.get(relay) {
                place.store(ready, Ordering::Relaxed);
            }
            match (ready, since) {
                (false, None) => since = Some(asked_s),
                (true, Some(from_s)) => {
                    book.with(|log| log.away.push(Span { relay, from_s, to_s: clock.now_s() }));
                    since = None;
                }
                _ => {}
            }
            tokio::time::sleep(ASKED).await;
        }
    }

    /// The relay that a client of this one is sent to: itself, or the next that is ready.
    pub fn sends_to(&self, relay: usize) -> usize {
        let ready = |n: &usize| self.0.get(*n).is_some_and(|ready| ready.load(Ordering::Relaxed));
        let all = self.0.len().max(1);
        (0..all).map(|step| (relay + step) % all).find(ready).unwrap_or(relay)
    }
}
