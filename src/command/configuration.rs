//! Shows the replicated destination set of a running relay, which it queries over the control socket. Read-only.

use std::process::ExitCode;

use serde_json::Value;

use super::Failure;
use super::control::Socket;

/// Shows the version that is active on a relay, its upstreams and subscribers, and the updates that it refused.
///
/// # Errors
/// If no relay answers, or it receives no destination set from control machines.
pub fn show(socket: &Socket) -> Result<ExitCode, Failure> {
    let answer = socket.ask("show")?;
    let Some(configuration) = answer.get("configuration").filter(|part| part.is_object()) else {
        return Err("the relay's file has no [configuration]".into());
    };
    if socket.json {
        println!("{configuration}");
    } else {
        print(configuration);
    }
    Ok(ExitCode::SUCCESS)
}

fn print(configuration: &Value) {
    let field = |key: &str| configuration.get(key).unwrap_or(&Value::Null);
    println!("version {}", text(field("version")));
    println!("digest {}", text(field("digest")));
    println!("confirmed by control {}", ago(field("age_s")));
    let (destinations, of_file) = (text(field("destinations")), text(field("of_file")));
    println!("{destinations} destinations, and {of_file} of the operator's file");
    let applied = (text(field("applied")), text(field("installed")));
    println!("{} changes and {} snapshots taken since the start", applied.0, applied.1);
    if let Some(missing) = field("snapshot").get("missing_buckets") {
        println!("a snapshot is being fetched; buckets missing: {}", text(missing));
    }
    for upstream in field("upstreams").as_array().into_iter().flatten() {
        let part = |key: &str| upstream.get(key).unwrap_or(&Value::Null);
        let kind = if part("primary").as_bool() == Some(true) { "primary" } else { "backup" };
        let (peer, version) = (text(part("peer")), text(part("version")));
        println!("upstream {peer} ({kind}): version {version}, confirmed {}", ago(part("age_s")));
    }
    let subscribers: Vec<String> = field("subscribers").as_array().into_iter().flatten().map(text).collect();
    println!("subscribers: {}", if subscribers.is_empty() { "none".into() } else { subscribers.join(", ") });
    for (reason, count) in field("refused").as_object().into_iter().flatten() {
        println!("refused, {}: {}", reason.replace('_', " "), text(count));
    }
    print_misplaced(field("misplaced"));
}

/// Prints the machines whose list of machines differs from the relay's.
fn print_misplaced(misplaced: &Value) {
    let roles = [("subscribers", "was refused as a subscriber"), ("upstreams", "refused this relay")];
    for (key, what) in roles {
        for (peer, count) in misplaced.get(key).and_then(Value::as_object).into_iter().flatten() {
            println!("machine {peer} {what} {} times: its list of machines is another one", text(count));
        }
    }
}

fn text(value: &Value) -> String {
    match value {
        Value::Null => "-".into(),
        Value::String(text) => text.clone(),
        other => other.to_string(),
    }
}

fn ago(seconds: &Value) -> String {
    seconds.as_f64().map_or("never".into(), |seconds| format!("{seconds:.1} s ago"))
}
