//! What a relay shows an operator of its fleet, as JSON.

use ::fleet::Peer;
use ::fleet::members::Member;
use peers::node::Node as Facts;
use peers::observation::Observation;
use permits::node as permit;
use repeats::node as repeat;
use serde_json::{Map, Value, json};

use super::{Shell, cuts};
use crate::interface::Micros;

/// All that an operator may ask for.
pub(super) fn show(shell: &Shell) -> Value {
    let now = shell.clock.now();
    let facts = shell.facts.as_ref().map(|(facts, ..)| facts);
    let members = shell.link.members().all();
    let peers: Vec<Value> = members.map(|(peer, member)| show_peer(now, peer, &member, facts)).collect();
    let known = facts.into_iter().flat_map(|facts| facts.table().all(now));
    let known: Vec<Value> = known.map(|known| show_fact(now, &known)).collect();
    let permits = shell.permits.iter();
    let shares: Vec<Value> =
        permits.clone().flat_map(|permits| permits.shares(now)).map(show_share).collect();
    let queues = permits.flat_map(|permits| permits.queues(now));
    let queues: Vec<Value> = queues.map(|queue| cuts::show(&queue)).collect();
    let budgets = shell.repeats.iter().flat_map(|repeats| repeats.status(now));
    let budgets: Vec<Value> = budgets.map(show_budget).collect();
    let counts = shell.link.counts();
    let ignored: Map<String, Value> =
        counts.ignored.iter().map(|(why, count)| (why.to_string(), json!(count))).collect();
    json!({
        "peers": peers,
        "facts": known,
        "shares": shares,
        "overload": queues,
        "repeats": budgets,
        "turns": shell.turning.as_ref().map(|turning| turning.show(now)),
        "configuration": shell.distribution.as_ref().map(|distribution| distribution.show(now)),
        "sent": counts.sent,
        "bytes": counts.bytes,
        "taken": counts.taken,
        "ignored": ignored,
        "skipped": counts.skipped,
        "news": facts.map_or(0, Facts::update_count),
    })
}

fn seconds_ago(now: Micros, at: Micros) -> f64 {
    (now - at) as f64 / 1e6
}

fn show_peer(now: Micros, peer: Peer, member: &Member, facts: Option<&Facts>) -> Value {
    json!({"peer": peer, "standing": format!("{:?}", member.standing).to_lowercase(),
        "incarnation": member.incarnation, "heard_s_ago": member.heard.map(|at| seconds_ago(now, at)),
        "trust": facts.map(|facts| facts.table().trust.of(peer))})
}

fn show_fact(now: Micros, (fact, weight): &(Observation, f64)) -> Value {
    json!({"destination": fact.destination, "known": fact.observed, "seen_s_ago": seconds_ago(now, fact.at),
        "by": fact.source, "hops": fact.hops, "weight": weight})
}

fn show_share(share: permit::Share) -> Value {
    json!({"destination": share.destination, "steward": share.steward, "own": share.own,
        "lent": share.lent, "of": share.of, "sliced": share.sliced})
}

fn show_budget(budget: repeat::BudgetStatus) -> Value {
    let repeat::BudgetStatus { destination, coordinator, tokens, counts, waiting: [here, asked] } = budget;
    json!({"destination": destination, "keeper": coordinator, "credits": tokens, "firsts": counts.first_attempts,
        "spent": counts.spent, "given": counts.given, "had": counts.received, "waiting": here, "asked": asked})
}
