//! A platform configuration for tests, and requests to the admin endpoint.

use std::time::{Duration, Instant};

use serde_json::{Value, json};

use super::{connect, send_and_read};

/// Maximum time for a response of the admin endpoint.
const ADMIN_TIMEOUT: Duration = Duration::from_secs(1);

/// Returns a platform configuration with an admin endpoint, and one endpoint for each destination from 0 on.
pub fn configuration(endpoints: &[String]) -> Value {
    let members: Vec<Value> = endpoints
        .iter()
        .enumerate()
        .map(|(cell, at)| {
            json!({"id": format!("s-{cell}"), "locality": "a", "flavor": "house", "cell": cell,
                "host_port": at, "phase": "Ready", "size": 4.0, "up_since_ms": 0})
        })
        .collect();
    let class = |name: &str, effect: &str| {
        json!({"Name": name, "Idempotency": effect, "AimUs": 2_000_000, "DeadlineUs": 16_000_000,
            "Value": 1.0, "LateWorth": 0.3})
    };
    let mut keyed = class("warning-post", "deduplicated");
    keyed["DedupWindowUs"] = 15_000_000.into();
    json!({
        "name": "n0", "seed": "8c1f30d27a5be964", "listen": "127.0.0.1:0", "ops": "127.0.0.1:0",
        "limits": {"sockets": 256, "disk_mb": 3},
        "known": {"revision": 41, "complete": true, "members": members},
        "settings": {
            "Classes": [class("status-update", "idempotent"), class("paid-extra", "at_most_once"), keyed],
            "Tenants": [{"Name": "desk", "QuotaPerS": 9.0}],
            "HostTypes": ["house"], "Zones": ["a"], "Weights": "nominal", "PeersTotal": 1,
            "Domain": {"MaxCalls": 8, "Late": "by_half"},
            "Limits": {"OpenCap": 200, "MaxAttempts": 12, "ConnectTimeoutUs": 1_000_000,
                "ConnIdleUs": 15_000_000, "Cancel": true},
            "Rules": {"ColdFrom": 0.16, "ColdUs": 10_000_000, "FallMultiple": 2.0,
                "OverloadForUs": 2_000_000, "StopSendingWithinUs": 1_000_000}
        }
    })
}

/// Makes a request to the admin endpoint. Returns the status and the body, and panics if the response takes too long.
pub fn admin_request(address: &str, method: &str, path: &str) -> (u16, Value) {
    let began = Instant::now();
    let mut stream = connect(address);
    let request = format!("{method} {path} HTTP/1.1\r\nHost: relay\r\nContent-Length: 0\r\n\r\n");
    let response = send_and_read(&mut stream, request.as_bytes()).expect("an answer");
    assert!(began.elapsed() < ADMIN_TIMEOUT, "{method} {path} took {:?}", began.elapsed());
    assert_eq!(response.header("Connection"), Some("close"));
    (response.status(), serde_json::from_slice(&response.body).unwrap_or_default())
}
