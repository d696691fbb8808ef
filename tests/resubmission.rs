//! Submissions under an id that another message has, or had until recently.

mod stand;

use std::io::Write;
use std::net::TcpListener;

use stand::runtime::{TestRuntime, within_timeout};
use stand::site::configuration;
use stand::{Program, accept, connect, folder, read_http, send_and_read, submit_request};
use tulipfall::exchange::{Answer, Exchange};
use tulipfall::interface::*;

/// Time until a message is due, in microseconds.
const LEFT: Micros = 8_000_000;

/// Submissions under the id of [`TestRuntime::exchange`] with this class, each of which differs from it in one field.
fn with_other_content(fixture: &TestRuntime, id: &str, class: &str) -> Vec<Exchange> {
    let same = || fixture.exchange(id, class, LEFT);
    let other_class = if class == "paid-extra" { "status-update" } else { "paid-extra" };
    vec![
        Exchange { class: other_class.into(), ..same() },
        Exchange { tenant: None, ..same() },
        Exchange { destination: 1, ..same() },
        Exchange { idempotency_key: Some("key".parse().expect("a key")), ..same() },
        Exchange { body: "other".into(), ..same() },
        Exchange { body: "".into(), ..same() },
    ]
}

/// Asserts that other contents are refused under an id, and that its own is accepted once.
async fn assert_id_is_taken(fixture: &TestRuntime, id: &str, class: &str, state: &str) {
    for other in with_other_content(fixture, id, class) {
        let submitted = format!("{other:?}");
        let answer = within_timeout(fixture.start_submission(other)).await.expect("an answer");
        assert!(matches!(answer, Answer::Refused(..)), "{state}: {answer:?} for {submitted}");
    }
    assert_eq!(fixture.submit(id, class, LEFT).await, Answer::AlreadyAccepted, "{state}");
}

// Guards against a message that is answered 202 and dropped, as its id belongs to a message with another content.
#[tokio::test(flavor = "local")]
async fn another_content_under_a_known_id_is_refused_whatever_became_of_the_first_message() {
    let mut fixture = TestRuntime::start("resubmission-states");
    for (id, outcome) in [("delivered", Outcome::Ok), ("given-up", Outcome::Reset)] {
        assert_eq!(fixture.submit(id, "paid-extra", LEFT).await, Answer::Accepted);
        let call = fixture.call().await;
        assert_id_is_taken(&fixture, id, "paid-extra", "in flight").await;
        fixture.end(&call, outcome).await;
        assert_id_is_taken(&fixture, id, "paid-extra", "ended").await;
    }
    assert_eq!(within_timeout(fixture.notices.recv()).await.expect("a report").id, "given-up");
    assert_eq!(fixture.submit("first", "status-update", LEFT).await, Answer::Accepted);
    let first = fixture.call().await;
    fixture.end(&first, Outcome::Full(Some(LEFT / 10))).await;
    assert_eq!(fixture.submit("queued", "status-update", LEFT).await, Answer::Accepted);
    assert_id_is_taken(&fixture, "queued", "status-update", "queued").await;
    let fixture = fixture.hand_over().await;
    for id in ["delivered", "given-up"] {
        assert_id_is_taken(&fixture, id, "paid-extra", "after a handover").await;
    }
    assert_id_is_taken(&fixture, "queued", "status-update", "queued at a handover").await;
}

// Guards against a message that fails, or is held as may have run, because another one was withdrawn under its id.
#[tokio::test(flavor = "local")]
async fn another_content_under_a_withdrawn_id_is_refused_only_if_something_was_sent_under_it() {
    let mut fixture = TestRuntime::start("resubmission-withdrawn");
    assert_eq!(fixture.submit("sent", "paid-extra", LEFT).await, Answer::Accepted);
    let call = fixture.call().await;
    fixture.withdraw("sent");
    fixture.end(&call, Outcome::Full(Some(LEFT / 10))).await;
    assert_eq!(fixture.submit("unsent", "paid-extra", LEFT).await, Answer::Accepted);
    fixture.withdraw("unsent");
    let other =
        |fixture: &TestRuntime, id| Exchange { body: "y".into(), ..fixture.exchange(id, "paid-extra", LEFT) };
    let fixture = fixture.hand_over().await;
    let answer = within_timeout(fixture.start_submission(other(&fixture, "sent"))).await.expect("an answer");
    assert!(matches!(answer, Answer::Refused(..)), "{answer:?}");
    let answer =
        within_timeout(fixture.start_submission(other(&fixture, "unsent"))).await.expect("an answer");
    assert_eq!(answer, Answer::Accepted);
    assert_eq!(fixture.submit("sent", "paid-extra", LEFT).await, Answer::Accepted, "the same message");
}

// Guards against a charge that is answered 202 and lost, because another client used its id between two pieces of its request.
#[test]
fn a_request_that_arrives_in_pieces_is_refused_if_its_id_was_taken_meanwhile() {
    let folder = folder("resubmission-pieces");
    let endpoint = TcpListener::bind("127.0.0.1:0").expect("a socket");
    let file = folder.join("config.json");
    let address = endpoint.local_addr().expect("an address").to_string();
    std::fs::write(&file, configuration(&[address]).to_string()).expect("a file");
    let (file, state) = (file.display().to_string(), folder.join("state").display().to_string());
    let program = Program::start(&[], &[("PROXY_CONFIG", &file), ("PROXY_STATE", &state)], 1);

    let charge = submit_request("paid-extra", "m", 0, 8_000, b"charge");
    let mut desk = connect(&program.addresses[0]);
    desk.write_all(&charge[..60]).expect("written");
    let mut other = connect(&program.addresses[0]);
    let taken = send_and_read(&mut other, &submit_request("status-update", "m", 0, 8_000, b"other"));
    assert_eq!(taken.expect("an answer").status(), 202);
    let mut call = accept(&endpoint);
    assert_eq!(read_http(&mut call).expect("a call").body, b"other");
    assert_eq!(send_and_read(&mut desk, &charge[60..]).expect("an answer").status(), 503);
    call.write_all(b"HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 0\r\n\r\n").expect("written");
    drop(call);
    // Submitted again under an id of its own, as after any refusal.
    let again = submit_request("paid-extra", "n", 0, 8_000, b"charge");
    assert_eq!(send_and_read(&mut desk, &again).expect("an answer").status(), 202);
    assert_eq!(read_http(&mut accept(&endpoint)).expect("a call").body, b"charge");
}
