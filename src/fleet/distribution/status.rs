//! The state of the destination set on a relay, as JSON for operators.

use rollout::{Disagreement, Kind, Micros, Node, Peer, Progress, SECOND, Upstream};
use serde_json::{Map, Value, json};

/// The version in force, its upstreams, and what was refused. `listed` is the number of destinations of the runtime; those
/// beyond the set are from the operator's file.
pub(super) fn show(node: &Node, listed: usize, now: Micros) -> Value {
    let status = node.status(now);
    let counts = node.counts();
    let destinations = node.set().len();
    let refused: Map<String, Value> =
        counts.rejected.iter().map(|(kind, count)| (name(*kind).into(), json!(count))).collect();
    let upstreams: Vec<Value> = status.upstreams.iter().map(upstream).collect();
    json!({
        "version": status.version.to_string(),
        "digest": status.digest.to_string(),
        "age_s": status.age.map(seconds),
        "destinations": destinations,
        "of_file": listed.saturating_sub(destinations),
        "upstreams": upstreams,
        "subscribers": status.subscribers,
        "snapshot": status.snapshot.as_ref().map(snapshot),
        "applied": counts.applied,
        "installed": counts.installed,
        "replaced": counts.replaced,
        "refused": refused,
        "misplaced": misplaced(node),
    })
}

/// Counts of subscribers that this relay refused, and of upstreams that refused it, because their lists of machines differ.
fn misplaced(node: &Node) -> Value {
    let count_by_peer = |of: fn(&Disagreement) -> Option<Peer>| -> Map<String, Value> {
        let disagreements = node.disagreements().iter();
        disagreements
            .filter_map(|(disagreement, count)| Some((of(disagreement)?.to_string(), json!(count))))
            .collect()
    };
    let subscribers = count_by_peer(|disagreement| match disagreement {
        Disagreement::Subscriber(peer) => Some(*peer),
        Disagreement::Upstream(_) => None,
    });
    let upstreams = count_by_peer(|disagreement| match disagreement {
        Disagreement::Upstream(peer) => Some(*peer),
        Disagreement::Subscriber(_) => None,
    });
    json!({"subscribers": subscribers, "upstreams": upstreams})
}

fn upstream(upstream: &Upstream) -> Value {
    json!({"peer": upstream.peer, "primary": upstream.primary,
        "version": upstream.version.map(|version| version.to_string()), "age_s": upstream.age.map(seconds)})
}

fn snapshot(progress: &Progress) -> Value {
    json!({"version": progress.version.to_string(), "missing_buckets": progress.missing_buckets})
}

fn seconds(span: Micros) -> f64 {
    span as f64 / SECOND as f64
}

fn name(kind: Kind) -> &'static str {
    match kind {
        Kind::Malformed => "malformed",
        Kind::Forged => "forged",
        Kind::Unasked => "unasked",
        Kind::Doubled => "doubled",
        Kind::OutOfOrder => "out_of_order",
        Kind::OlderEpoch => "older_epoch",
        Kind::Unknown => "unknown",
        Kind::Diverged => "diverged",
        Kind::Invalid => "invalid",
        Kind::Snapshot => "snapshot",
    }
}
