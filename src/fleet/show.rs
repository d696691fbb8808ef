//! What a relay shows an operator of its fleet, as JSON.

use ::fleet::Peer;
use ::fleet::members::Member;
use peers::fact::Fact;
use peers::node::Node as Facts;
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
    let known = facts.into_iter().flat_map(|facts| facts.ledger().all(now));
    let known: Vec<Value> = known.map(|known| show_fact(now, &known)).collect();
    let permits = shell.permits.iter();
    let shares: Vec<Value> =
        permits.clone().flat_map(|permits| permits.limit_statuses(now)).map(show_share).collect();
    let queues = permits.flat_map(|permits| permits.queues(now));
    let queues: Vec<Value> = queues.map(|queue| cuts::show(&queue)).collect();
    let budgets = shell.repeats.iter().flat_map(|repeats| repeats.budgets(now));
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
        "news": facts.map_or(0, Facts::news_count),
    })
}

fn seconds_ago(now: Micros, at: Micros) -> f64 {
    (now - at) as f64 / 1e6
}

fn show_peer(now: Micros, peer: Peer, member: &Member, facts: Option<&Facts>) -> Value {
    json!({"peer": peer, "standing": format!("{:?}", member.standing).to_lowercase(),
        "incarnation": member.incarnation, "heard_s_ago": member.heard.map(|at| seconds_ago(now, at)),
        "trust": facts.map(|facts| facts.ledger().trust.of(peer))})
}

fn show_fact(now: Micros, (fact, weight): &(Fact, f64)) -> Value {
    json!({"destination": fact.destination, "known": fact.known, "seen_s_ago": seconds_ago(now, fact.at),
        "by": fact.source, "hops": fact.hops, "weight": weight})
}

fn show_share(share: permit::LimitStatus) -> Value {
    json!({"destination": share.destination, "steward": share.coordinator, "own": share.owns_share,
        "lent": share.usable_shares, "of": share.total_shares, "sliced": share.grants_rates})
}

fn show_budget(budget: repeat::Budget) -> Value {
    let repeat::Budget { destination, keeper, credits, counts, waiting: [here, asked] } = budget;
    json!({"destination": destination, "keeper": keeper, "credits": credits, "firsts": counts.firsts,
        "spent": counts.spent, "given": counts.given, "had": counts.had, "waiting": here, "asked": asked})
}
