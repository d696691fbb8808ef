//! Wire format of observations: items in a frame of the peer link. Decoding must not panic, nor allocate more than the
//! frame's length, on any input.
//!
//! ```text
//!     items   kind, length, bytes (postcard); an unknown kind is skipped by its length
//! ```

use serde::{Deserialize, Serialize};

use crate::observation::{Micros, Observed, Peer};

/// An observation on the wire. Times are relative to the sending of the datagram, so that the clocks of relays need not agree.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct RelativeObservation {
    /// The destination.
    pub destination: i64,
    /// What was observed, with times relative to the sending.
    #[serde(rename = "known")]
    pub observed: Observed,
    /// Age of the observation at the sending, in microseconds.
    pub age: Micros,
    /// The relay that observed it.
    pub source: Peer,
    /// Number of times that it was passed on before.
    pub hops: u8,
}

/// One item of a frame.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Item {
    /// Asks for the receiver's observations.
    Request {
        /// Index of the receiver among the peers asked, which is the share that it sends first.
        part: u8,
        /// Number of peers asked.
        of: u8,
    },
    /// An observation.
    Observation(RelativeObservation),
}

const REQUEST: u8 = 1;
const OBSERVATION: u8 = 2;

impl Item {
    /// Encodes the item with its kind and length.
    pub fn encode(&self) -> Vec<u8> {
        let (kind, bytes) = match self {
            Item::Request { part, of } => (REQUEST, vec![*part, *of]),
            Item::Observation(observation) => {
                (OBSERVATION, postcard::to_allocvec(observation).unwrap_or_default())
            }
        };
        let mut out = vec![kind, u8::try_from(bytes.len()).unwrap_or(0)];
        out.extend(bytes);
        out
    }

    fn decode(kind: u8, bytes: &[u8]) -> Option<Self> {
        match kind {
            REQUEST => match bytes {
                [part, of] if part < of => Some(Item::Request { part: *part, of: *of }),
                _ => None,
            },
            OBSERVATION => {
                let observation: RelativeObservation = postcard::from_bytes(bytes).ok()?;
                (observation.age >= 0 && is_plausible(&observation.observed))
                    .then_some(Item::Observation(observation))
            }
            _ => None,
        }
    }
}

/// Whether all values are in a plausible range. An implausible observation is ignored, even if it is signed.
fn is_plausible(observed: &Observed) -> bool {
    const HOUR: Micros = 3600 * crate::observation::SECOND;
    let duration = |duration: &Micros| (0..=HOUR).contains(duration);
    let time = |at: &Micros| (-24 * HOUR..=HOUR).contains(at);
    match observed {
        Observed::Wait { until } => time(until),
        Observed::Pace { interval, base } => duration(interval) && duration(base) && *base > 0,
        Observed::Limit { per_s } => (0.0..=1e6).contains(per_s),
        Observed::AnswerTime { mean, deviation } => duration(mean) && duration(deviation),
        Observed::Connections { .. } => true,
        Observed::Failing { since, recovering_since, .. } => {
            time(since) && recovering_since.as_ref().is_none_or(time)
        }
        Observed::Healthy { call_began } => time(call_began),
    }
}

/// Decodes the items of a frame. Returns them with the number of items skipped, of an unknown kind or with implausible
/// values; `None` where an item exceeds the frame.
pub fn decode(frame: &[u8]) -> Option<(Vec<Item>, usize)> {
    let (mut items, mut skipped, mut rest) = (Vec::new(), 0, frame);
    while let [kind, length, tail @ ..] = rest {
        let (item, next) = tail.split_at_checked(usize::from(*length))?;
        match Item::decode(*kind, item) {
            Some(item) => items.push(item),
            None => skipped += 1,
        }
        rest = next;
    }
    rest.is_empty().then_some((items, skipped))
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;

    fn observation() -> RelativeObservation {
        let observed = Observed::Failing { since: -3_000_000, failures: 4, recovering_since: None };
        RelativeObservation { destination: -5, observed, age: 20_000, source: 9, hops: 1 }
    }

    #[test]
    fn unknown_kinds_and_implausible_observations_are_skipped() {
        let mut bytes = vec![200, 3, 1, 2, 3];
        bytes.extend(Item::Observation(observation()).encode());
        bytes.extend(Item::Request { part: 0, of: 3 }.encode());
        let wrong =
            RelativeObservation { observed: Observed::Pace { interval: -1, base: 0 }, ..observation() };
        bytes.extend(Item::Observation(wrong).encode());
        assert_eq!(
            decode(&bytes),
            Some((vec![Item::Observation(observation()), Item::Request { part: 0, of: 3 }], 2))
        );
        bytes.pop();
        assert_eq!(decode(&bytes), None);
    }

    proptest! {
        #[test]
        fn no_frame_panics_or_yields_more_than_it_holds(bytes in prop::collection::vec(any::<u8>(), 0..250)) {
            if let Some((items, skipped)) = decode(&bytes) {
                prop_assert!(items.len() + skipped <= bytes.len() / 2);
            }
        }
    }
}
