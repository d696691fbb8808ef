//! The state of a relay's part in its fleet, as JSON for operators.

use ::fleet::Peer;
use ::fleet::members::Member;
use peers::node::Node as ObservationNode;
use peers::observation::Observation;
use permits::node as permit;
use repeats::node as repeat;
use serde_json::{Map, Value, json};

use super::{FleetTask, cutoffs};
use crate::interface::Micros;

/// The whole state.
pub(super) fn show(task: &FleetTask) -> Value {
    let now = task.clock.now();
    let observations = task.observations.as_ref().map(|(observations, ..)| observations);
    let members = task.link.members().all();
    let peers: Vec<Value> =
        members.map(|(peer, member)| show_peer(now, peer, &member, observations)).collect();
    let listed = observations.into_iter().flat_map(|observations| observations.table().all(now));
    let listed: Vec<Value> = listed.map(|observation| show_observation(now, &observation)).collect();
    let permits = task.permits.iter();
    let shares: Vec<Value> =
        permits.clone().flat_map(|permits| permits.limit_statuses(now)).map(show_share).collect();
    let queues = permits.flat_map(|permits| permits.queues(now));
    let queues: Vec<Value> = queues.map(|queue| cutoffs::show(&queue)).collect();
    let budgets = task.repeats.iter().flat_map(|repeats| repeats.status(now));
    let budgets: Vec<Value> = budgets.map(show_budget).collect();
    let counts = task.link.counts();
    let ignored: Map<String, Value> =
        counts.ignored.iter().map(|(why, count)| (why.to_string(), json!(count))).collect();
    json!({
        "peers": peers,
        "facts": listed,
        "shares": shares,
        "overload": queues,
        "repeats": budgets,
        "turns": task.maintenance.as_ref().map(|maintenance| maintenance.show(now)),
        "configuration": task.distribution.as_ref().map(|distribution| distribution.show(now)),
        "sent": counts.sent,
        "bytes": counts.bytes,
        "taken": counts.accepted,
        "ignored": ignored,
        "skipped": counts.skipped,
        "news": observations.map_or(0, ObservationNode::update_count),
    })
}

fn seconds_since(now: Micros, at: Micros) -> f64 {
    (now - at) as f64 / 1e6
}

fn show_peer(now: Micros, peer: Peer, member: &Member, observations: Option<&ObservationNode>) -> Value {
    json!({"peer": peer, "standing": format!("{:?}", member.state).to_lowercase(),
        "incarnation": member.incarnation, "heard_s_ago": member.last_heard.map(|at| seconds_since(now, at)),
        "trust": observations.map(|observations| observations.table().trust.of(peer))})
}

fn show_observation(now: Micros, (observation, weight): &(Observation, f64)) -> Value {
    json!({"destination": observation.destination, "known": observation.observed, "seen_s_ago": seconds_since(now, observation.at),
        "by": observation.source, "hops": observation.hops, "weight": weight})
}

fn show_share(share: permit::LimitStatus) -> Value {
    json!({"destination": share.destination, "steward": share.coordinator, "own": share.owns_share,
        "lent": share.usable_shares, "of": share.total_shares, "sliced": share.grants_rates})
}

fn show_budget(budget: repeat::BudgetStatus) -> Value {
    let repeat::BudgetStatus { destination, coordinator, tokens, counts, waiting: [here, asked] } = budget;
    json!({"destination": destination, "keeper": coordinator, "credits": tokens, "firsts": counts.first_attempts,
        "spent": counts.spent, "given": counts.given, "had": counts.received, "waiting": here, "asked": asked})
}
