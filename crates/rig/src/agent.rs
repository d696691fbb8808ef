//! Discovery, as a relay's agent tells it, and the platform that takes notices. Owns the list, which never changes in a
//! play so far, and hands what relays report to the auditor.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use serde_json::{Value, json};

use crate::audit::Book;
use crate::clock::Clock;
use crate::http;
use crate::scenario::{Scenario, What};

/// The list's version.
const REVISION: i64 = 1;

/// A list in the agent's form, of endpoints at these addresses with the rates that are listed for them.
pub fn list(endpoints: &[(SocketAddr, f64)]) -> Value {
    let member = |(cell, (at, per_s)): (usize, &(SocketAddr, f64))| {
        json!({"id": format!("s-{cell}"), "host_port": at, "locality": "a", "flavor": "house", "cell": cell,
            "phase": "Ready", "size": per_s, "up_since_ms": 0})
    };
    let members: Vec<Value> = endpoints.iter().enumerate().map(member).collect();
    json!({"revision": REVISION, "complete": true, "members": members})
}

/// Starts the agent of a relay.
///
/// # Errors
/// Where the socket is not to be had.
pub async fn start(
    scenario: Arc<Scenario>, relay: usize, clock: Clock, at: SocketAddr, list: Value, book: Book,
) -> std::io::Result<()> {
    http::serve(at, move |request| {
        let (scenario, clock) = (scenario.clone(), clock.clone());
        let (list, book) = (list.clone(), book.clone());
        async move {
            if request.uri().path() == "/reports" {
                let text = http::body(request).await.unwrap_or_default();
                let lines = text.split(|byte| *byte == b'\n').filter(|line| !line.is_empty());
                for line in lines {
                    let Ok(notice) = serde_json::from_slice::<Value>(line) else {
                        return http::answer(400, "");
                    };
                    let id = notice.get("message").and_then(Value::as_str).unwrap_or_default();
                    let back = notice.get("outcome").and_then(Value::as_str) == Some("handed_back");
                    let retry_in_ms = notice.get("retry_in_ms").and_then(Value::as_u64);
                    book.noticed(id, relay, clock.now_s(), back, retry_in_ms);
                }
                return http::answer(204, "");
            }
            let mute = |what: &What| matches!(what, What::NoDiscovery { relays } if relays.contains(&relay));
            if scenario.broken(clock.now_s()).any(mute) {
                std::future::pending::<()>().await;
            }
            let query = request.uri().query().unwrap_or_default().to_string();
            let asked = |key: &str| query.split('&').find_map(|pair| pair.strip_prefix(key)).map(str::parse);
            let held = asked("index=").and_then(Result::ok).is_some_and(|index: i64| index >= REVISION);
            if !held {
                return http::answer(200, list.to_string());
            }
            let wait = asked("wait=").and_then(Result::ok).unwrap_or(0);
            tokio::time::sleep(Duration::from_millis(wait.clamp(0, 60_000).unsigned_abs())).await;
            http::answer(200, json!({"revision": REVISION, "complete": false, "members": []}).to_string())
        }
    })
    .await
}
