//! What this relay's own calls show of a destination, put into facts. Owns the streaks and the means. It must never
//! call a limit that was met an outage.

use std::collections::BTreeMap;

use crate::fact::{Known, Micros, SECOND};

/// Failures in a row that make a trouble.
const FAILURES: u16 = 2;
/// Refusals in a row, with a wait told, that make one; fewer are a limit that was met.
const REFUSALS: u16 = 4;
/// A destination that answers again is warm after this.
const WARM: Micros = 10 * SECOND;
/// That all is well is worth telling so often.
const WELL_EVERY: Micros = SECOND;
/// Weight of a new reading in a running mean: one in this many.
const SMOOTHING: Micros = 8;

/// What one call showed.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Sign {
    /// It was answered well.
    Well,
    /// It failed: no connection, an error, silence.
    Failed,
    /// It was refused as full, perhaps with a wait.
    Refused(Option<Micros>),
    /// It showed nothing.
    Nothing,
}

/// One call that ended.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Seen {
    /// Where it went.
    pub destination: i64,
    /// When it began.
    pub began: Micros,
    /// When it ended.
    pub ended: Micros,
    /// What it showed.
    pub sign: Sign,
    /// The limit that the destination reported, in calls a second.
    pub limit: Option<f64>,
}

#[derive(Clone, Copy, Debug, Default)]
struct Sight {
    failures: u16,
    refusals: u16,
    since: Micros,
    trouble: bool,
    back: Option<Micros>,
    mean: Option<Micros>,
    deviation: Micros,
    told_well: Option<Micros>,
    last: Option<Micros>,
    gap: Option<Micros>,
}

/// The witness.
#[derive(Clone, Debug, Default)]
pub struct Witness {
    sights: BTreeMap<i64, Sight>,
}

impl Witness {
    /// A call ended: what it makes known, and the traffic there in calls a second.
    pub fn saw(&mut self, seen: &Seen) -> (Vec<Known>, f64) {
        let sight = self.sights.entry(seen.destination).or_default();
        let now = seen.ended;
        if let Some(last) = sight.last {
            let gap = (now - last).max(1);
            sight.gap = Some(sight.gap.map_or(gap, |old| old + (gap - old) / SMOOTHING));
        }
        sight.last = Some(now);
        let traffic = sight.gap.map_or(0.1, |gap| SECOND as f64 / gap.max(1000) as f64);
        let mut known = Vec::new();
        if let Some(limit) = seen.limit.filter(|limit| *limit > 0.0) {
            known.push(Known::Limit { per_s: limit as f32 });
        }
        match seen.sign {
            Sign::Well => {
                (sight.failures, sight.refusals) = (0, 0);
                let took = (now - seen.began).max(0);
                let mean = sight.mean.unwrap_or(took);
                let deviation = if sight.mean.is_some() { sight.deviation } else { took / 2 };
                sight.deviation = deviation + ((took - mean).abs() - deviation) / SMOOTHING;
                sight.mean = Some(mean + (took - mean) / SMOOTHING);
                // A call begun before the trouble does not end it.
                if sight.trouble && seen.began >= sight.since {
                    let back = *sight.back.get_or_insert(now);
                    sight.trouble = now - back < WARM;
                    if sight.trouble {
                        known.push(Known::Trouble { since: sight.since, failures: 0, back: Some(back) });
                    }
                }
                if !sight.trouble && sight.told_well.is_none_or(|at| now - at >= WELL_EVERY) {
                    (sight.told_well, sight.back) = (Some(now), None);
                    known.push(Known::Good { at: seen.began });
                    known
                        .push(Known::Answer { mean: sight.mean.unwrap_or(took), deviation: sight.deviation });
                }
            }
            Sign::Failed | Sign::Refused(_) => {
                if sight.failures + sight.refusals == 0 {
                    sight.since = seen.began;
                }
                if let Sign::Refused(Some(wait)) = seen.sign {
                    sight.refusals = sight.refusals.saturating_add(1);
                    known.push(Known::Wait { until: now + wait });
                } else {
                    sight.failures = sight.failures.saturating_add(1);
                }
                if sight.failures >= FAILURES || sight.refusals >= REFUSALS {
                    (sight.trouble, sight.back) = (true, None);
                    let failures = sight.failures.saturating_add(sight.refusals);
                    known.push(Known::Trouble { since: sight.since, failures, back: None });
                }
            }
            Sign::Nothing => {}
        }
        (known, traffic)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn call(witness: &mut Witness, at: Micros, sign: Sign) -> Vec<Known> {
        let (began, ended) = (at, at + SECOND / 10);
        witness.saw(&Seen { destination: 1, began, ended, sign, limit: None }).0
    }

    fn trouble(known: &[Known]) -> Option<bool> {
        known.iter().find_map(|known| match known {
            Known::Trouble { back, .. } => Some(back.is_some()),
            _ => None,
        })
    }

    #[test]
    fn a_limit_that_is_met_is_no_outage_and_an_outage_ends_when_it_is_warm() {
        let mut witness = Witness::default();
        let mut now = 0;
        let mut step = |witness: &mut Witness, sign| {
            now += SECOND;
            call(witness, now, sign)
        };
        assert!(matches!(step(&mut witness, Sign::Well)[..], [Known::Good { .. }, Known::Answer { .. }]));
        for _ in 0..5 {
            assert_eq!(trouble(&step(&mut witness, Sign::Refused(None))), None);
            step(&mut witness, Sign::Well);
        }
        assert_eq!(trouble(&step(&mut witness, Sign::Failed)), None, "one failure is none");
        assert_eq!(trouble(&step(&mut witness, Sign::Failed)), Some(false));
        assert_eq!(trouble(&step(&mut witness, Sign::Well)), Some(true), "it is back, and cold");
        for _ in 0..9 {
            assert_eq!(trouble(&step(&mut witness, Sign::Well)), Some(true));
        }
        assert!(matches!(step(&mut witness, Sign::Well)[..], [Known::Good { .. }, Known::Answer { .. }]));
        let refusals: Vec<_> =
            (0..4).map(|_| trouble(&step(&mut witness, Sign::Refused(Some(SECOND))))).collect();
        assert_eq!(refusals, [None, None, None, Some(false)], "shut: nothing but refusals");
    }
}
