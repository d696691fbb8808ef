//! What the record knows of a message: the typed shape of its end, its attempts and what came to light after
//! the end. Owns the rule by which attempts add up to an effect. It must never claim more than was heard: an
//! attempt whose answer nobody heard leaves the effect in doubt.

use serde::{Deserialize, Serialize};

/// Unix time in microseconds.
pub type Micros = i64;

/// A text kept from outside, such as an endpoint or a status line, has at most so many bytes.
pub const MOST_TEXT: usize = 128;
/// Bytes that an entry without its attempts may have in the outbox, and that each attempt adds.
pub const MOST_ENTRY: u64 = 2048;
/// See [`MOST_ENTRY`].
pub const MOST_ATTEMPT: u64 = 1024;

/// How a message ended, as its client or the platform was told.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Outcome {
    /// A partner took it, and the relay heard so.
    Delivered,
    /// Handed back: handing it in again is harmless.
    Refused,
    /// Given up.
    Failed,
    /// Its client never heard that it was taken on, or the platform said that it is over.
    Withdrawn,
}

/// What is known of its effect at the partner. Ordered by how much outweighs what.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Effect {
    /// No attempt can have run.
    Never,
    /// An attempt may have run, and nobody heard.
    InDoubt,
    /// A partner took it.
    Took,
}

impl Outcome {
    /// The word in the record.
    pub fn word(self) -> &'static str {
        match self {
            Outcome::Delivered => "delivered",
            Outcome::Refused => "refused",
            Outcome::Failed => "failed",
            Outcome::Withdrawn => "withdrawn",
        }
    }
}

impl Effect {
    /// The word in the record.
    pub fn word(self) -> &'static str {
        match self {
            Effect::Never => "never",
            Effect::InDoubt => "in_doubt",
            Effect::Took => "took",
        }
    }
}

/// On what an outcome rests.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Evidence {
    /// Nothing was heard.
    #[default]
    None,
    /// The first line of an HTTP answer.
    Status(String),
    /// An AS2 receipt.
    Receipt {
        /// The `Message-ID` that it is for.
        message_id: String,
        /// Its `Received-Content-MIC`.
        mic: String,
        /// Its disposition.
        disposition: String,
    },
    /// Taken over from an older store, which did not keep it.
    Imported,
}

impl Evidence {
    /// The word in the record.
    pub fn kind(&self) -> &'static str {
        match self {
            Evidence::None => "none",
            Evidence::Status(_) => "status",
            Evidence::Receipt { .. } => "receipt",
            Evidence::Imported => "imported",
        }
    }

    /// Cuts its texts to what the outbox has room for.
    #[must_use]
    pub fn bounded(self) -> Self {
        match self {
            Evidence::Status(line) => Evidence::Status(cut(&line)),
            Evidence::Receipt { message_id, mic, disposition } => Evidence::Receipt {
                message_id: cut(&message_id),
                mic: cut(&mic),
                disposition: cut(&disposition),
            },
            other => other,
        }
    }
}

/// A text without control characters or what JSON would have to escape, cut to [`MOST_TEXT`] bytes at a
/// character's end.
pub fn cut(text: &str) -> String {
    let mut kept = String::new();
    for c in text.chars().filter(|c| !c.is_control()) {
        let c = match c {
            '"' => '\'',
            '\\' => '/',
            c => c,
        };
        if kept.len() + c.len_utf8() > MOST_TEXT {
            break;
        }
        kept.push(c);
    }
    kept
}

/// Bytes as hexadecimal digits, as a digest is written.
pub fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

/// One attempt.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Attempt {
    /// Counted from 0 over the life of the message.
    #[serde(rename = "n")]
    pub number: u32,
    /// Where it went.
    #[serde(rename = "e")]
    pub endpoint: String,
    /// When it was let out.
    #[serde(rename = "b")]
    pub began: Micros,
    /// When its end was heard; `None` where the process died first.
    #[serde(rename = "d")]
    pub ended: Option<Micros>,
    /// How it ended, in a word; `open` where that was not heard.
    #[serde(rename = "r")]
    pub result: String,
    /// Whether it took effect.
    #[serde(rename = "f")]
    pub effect: Effect,
    /// On what that rests.
    #[serde(rename = "v")]
    pub evidence: Evidence,
}

/// What a relay remembers of a message while it holds it, so that its end can be recorded.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Trace {
    /// When it was taken on.
    #[serde(rename = "t")]
    pub taken_at: Micros,
    /// Its attempts so far, in order.
    #[serde(rename = "a")]
    pub attempts: Vec<Attempt>,
}

impl Trace {
    /// A message that is taken on now.
    pub fn new(taken_at: Micros) -> Self {
        Trace { taken_at, attempts: Vec::new() }
    }

    /// An attempt is let out: until its end is heard it counts as one that may have run.
    pub fn started(&mut self, number: u32, endpoint: &str, began: Micros) {
        self.attempts.push(Attempt {
            number,
            endpoint: cut(endpoint),
            began,
            ended: None,
            result: "open".into(),
            effect: Effect::InDoubt,
            evidence: Evidence::None,
        });
    }

    /// The end of an attempt was heard.
    pub fn ended(&mut self, number: u32, at: Micros, result: &str, effect: Effect, evidence: Evidence) {
        if let Some(attempt) = self.attempts.iter_mut().rev().find(|attempt| attempt.number == number) {
            // The wall clock may have been set back between a start and its end.
            attempt.ended = Some(at.max(attempt.began));
            attempt.result = cut(result);
            attempt.effect = effect;
            attempt.evidence = evidence.bounded();
        }
    }

    /// What the attempts add up to: one that took outweighs a doubt, and a doubt outweighs what never ran.
    pub fn effect(&self) -> Effect {
        self.attempts.iter().map(|attempt| attempt.effect).max().unwrap_or(Effect::Never)
    }
}

/// The receipt that proves a message.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Expected {
    /// Who has to give it.
    pub partner: String,
    /// The MIC that it must have.
    pub mic: String,
}

/// The end of a message.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Final {
    /// Its id.
    pub id: String,
    /// Its class.
    pub class: String,
    /// The class must never take effect twice.
    pub once: bool,
    /// Its tenant.
    pub tenant: Option<String>,
    /// Its destination.
    pub destination: i64,
    /// When it ended.
    pub ended_at: Micros,
    /// How.
    pub outcome: Outcome,
    /// The receipt that proves it, where its partner gives receipts.
    pub receipt: Option<Expected>,
    /// Bytes of its body.
    pub body_length: i64,
    /// SHA-256 of its body, in hexadecimal digits.
    pub body_sha256: String,
    /// Its life.
    pub trace: Trace,
    /// Taken over from an older store.
    #[serde(default)]
    pub imported: bool,
}

impl Final {
    /// What is known of its effect.
    pub fn effect(&self) -> Effect {
        match self.outcome {
            // The old store did not tell what a delivery rested on.
            Outcome::Delivered if !self.imported => Effect::Took,
            _ => self.trace.effect(),
        }
    }

    /// The attempt on which the outcome rests: the one that took, else the last.
    pub fn deciding(&self) -> Option<&Attempt> {
        let took = self.trace.attempts.iter().find(|attempt| attempt.effect == Effect::Took);
        took.or(self.trace.attempts.last())
    }

    /// When it ended; never before it was taken on, whatever the clock did in between.
    pub fn ended_at(&self) -> Micros {
        self.ended_at.max(self.trace.taken_at)
    }
}

/// What came to light about a message besides its end: it never makes a second row nor a second end.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Late {
    /// The message.
    pub id: String,
    /// When it came.
    pub at: Micros,
    /// `receipt`, `answer` or `statement`.
    pub kind: String,
    /// Who said so: a partner, or a file.
    pub source: String,
    /// What it says of the effect. A receipt that is positive settles only with the right MIC.
    pub effect: Effect,
    /// The receipt's MIC, if it is one.
    pub mic: Option<String>,
    /// What it said.
    pub detail: String,
}

/// One thing that the record is to hold.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Entry {
    /// A message ended.
    Ended(Box<Final>),
    /// Something came to light after that, or beside it.
    Late(Late),
}

impl Entry {
    /// The message that it is about.
    pub fn message(&self) -> &str {
        match self {
            Entry::Ended(end) => &end.id,
            Entry::Late(late) => &late.id,
        }
    }

    /// Its bytes in the outbox: JSON, so that a newer program reads what an older one left.
    pub fn encode(&self) -> Vec<u8> {
        serde_json::to_vec(self).unwrap_or_default()
    }

    /// Reads what [`Entry::encode`] wrote; `None` where the bytes are none.
    pub fn decode(bytes: &[u8]) -> Option<Self> {
        serde_json::from_slice(bytes).ok()
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn attempts_add_up_to_what_outweighs_the_rest() {
        let mut trace = Trace::new(10);
        assert_eq!(trace.effect(), Effect::Never, "no attempt: it cannot have run");
        trace.started(0, "a:1", 11);
        assert_eq!(trace.effect(), Effect::InDoubt, "nobody has heard how the open one ended");
        trace.ended(0, 9, "full", Effect::Never, Evidence::Status("HTTP/1.1 429".into()));
        assert_eq!(trace.effect(), Effect::Never);
        assert_eq!(
            trace.attempts[0].ended,
            Some(11),
            "a clock that stepped back ends nothing before its start"
        );
        trace.started(1, "a:1", 12);
        trace.ended(1, 13, "timed_out", Effect::InDoubt, Evidence::None);
        trace.started(2, "a:1", 14);
        trace.ended(2, 15, "full", Effect::Never, Evidence::None);
        assert_eq!(trace.effect(), Effect::InDoubt, "a later refusal settles no earlier doubt");
        trace.started(3, "a:1", 16);
        trace.ended(3, 17, "ok", Effect::Took, Evidence::Status("HTTP/1.1 200 OK".into()));
        assert_eq!(trace.effect(), Effect::Took);
    }

    #[test]
    fn an_entry_with_all_its_attempts_fits_the_room_that_is_kept_for_it() {
        let long = "é".repeat(500);
        let mut trace = Trace::new(i64::MAX);
        let receipt =
            || Evidence::Receipt { message_id: long.clone(), mic: long.clone(), disposition: long.clone() };
        for n in 0..12 {
            trace.started(n, &long, i64::MAX);
            trace.ended(n, i64::MAX, &long, Effect::InDoubt, receipt());
        }
        let entry = Entry::Ended(Box::new(Final {
            id: "x".repeat(64),
            class: cut(&long),
            once: true,
            tenant: Some(cut(&long)),
            destination: i64::MIN,
            ended_at: i64::MAX,
            outcome: Outcome::Withdrawn,
            receipt: Some(Expected { partner: cut(&long), mic: cut(&long) }),
            body_length: 65_536,
            body_sha256: "0".repeat(64),
            trace,
            imported: false,
        }));
        let bytes = entry.encode();
        assert!(bytes.len() as u64 <= MOST_ENTRY + 12 * MOST_ATTEMPT, "{} bytes", bytes.len());
        assert_eq!(Entry::decode(&bytes), Some(entry));
        assert_eq!(Entry::decode(&bytes[1..]), None);
    }
}
