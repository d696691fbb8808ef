//! The writer at work against databases that fail: every fault of the list is caused, and in the end each entry
//! is one row and was told written once. Nothing sleeps to let something happen.

mod both;

use std::path::Path;
use std::time::{Duration, Instant};

use both::*;
use pg_standin::{Act, Mode, Server, TlsFiles};
use record::model::*;
use record::query::{Filter, quarantine, verify};
use record::service::{Handle, Options, Standing, start};
use record::sql::{Connection, Server as Postgres, Target, Tls};
use record::store::Record;
use record::writer::{Failure, Figures};
use tokio::sync::mpsc;

/// No step of a test takes so long.
const FAR: Duration = Duration::from_secs(40);

/// A writer that tries again soon.
struct Scene {
    handle: Handle,
    written: mpsc::UnboundedReceiver<Vec<u64>>,
    told: Vec<u64>,
    target: Target,
}

fn options(target: &Target, holder: &str) -> Options {
    let figures = Figures { least_wait: 2_000, most_wait: 50_000, ..Figures::default() };
    Options {
        target: target.clone(),
        relay: "n1".into(),
        holder: holder.into(),
        seed: 5,
        figures,
        drop_oldest: false,
        keep: None,
    }
}

impl Scene {
    fn start(target: &Target, options: Options) -> Self {
        let (tell, written) = mpsc::unbounded_channel();
        let handle = start(options, tell).expect("a thread");
        Scene { handle, written, told: vec![], target: target.clone() }
    }

    fn hand(&self, numbers: impl IntoIterator<Item = u64>) {
        numbers.into_iter().for_each(|n| self.handle.hand(n, delivered(&format!("m{n}"))));
    }

    /// Waits until so many entries are told written.
    async fn told(&mut self, n: usize) {
        while self.told.len() < n {
            let more = tokio::time::timeout(FAR, self.written.recv()).await.expect("in time");
            self.told.extend(more.expect("the writer is there"));
        }
    }

    async fn stands(&self, wanted: impl FnMut(&Standing) -> bool) -> Standing {
        let mut standing = self.handle.standing();
        let found = tokio::time::timeout(FAR, standing.wait_for(wanted)).await.expect("in time");
        *found.expect("the writer is there")
    }

    /// Each entry was told once, and is a row once.
    async fn agrees(mut self, n: u64) {
        self.told(usize::try_from(n).expect("small")).await;
        self.told.sort_unstable();
        assert_eq!(self.told, (1..=n).collect::<Vec<_>>(), "each told once");
        let far = tokio::time::Instant::now() + FAR;
        let mut connection = Connection::open(&self.target, far).await.expect("opens");
        let rows = Filter::default().page(&mut connection, 10_000).await.expect("rows");
        assert_eq!(rows.len() as u64, n);
        assert_eq!(verify(&mut connection, 9).await.expect("asked"), []);
    }
}

fn server(name: &str) -> (Server, Target) {
    let server = Server::start(&folder(name).join("tables"), None).expect("a server");
    let target = postgres(&server);
    (server, target)
}

#[test]
fn a_commit_whose_outcome_is_unknown_is_written_once() {
    for (name, act) in [("commit-before", Act::CloseBefore), ("commit-after", Act::CloseAfter)] {
        let (server, target) = server(name);
        block_on(async {
            let mut scene = Scene::start(&target, options(&target, "a"));
            scene.hand(1..=1);
            scene.told(1).await;
            server.fault("COMMIT", 3, act);
            scene.hand(2..=300);
            scene.told(300).await;
            assert_eq!(server.faults_left(), 0);
            scene.agrees(300).await;
        });
    }
}

#[test]
fn errors_that_pass_are_tried_again() {
    // A deadlock, a serialization failure, a lock that is not to be had, too many connections, shutting down,
    // no room on the server's disk.
    for (n, state) in ["40P01", "40001", "55P03", "53300", "57P01", "53100"].into_iter().enumerate() {
        let (server, target) = server(&format!("passing-{n}"));
        block_on(async {
            server.fault("record_message", 2, Act::Error(state));
            let scene = Scene::start(&target, options(&target, "a"));
            scene.hand(1..=40);
            scene.agrees(40).await;
            assert_eq!(server.faults_left(), 0, "{state}");
        });
    }
}

#[test]
fn a_server_that_is_away_resets_or_takes_no_writes_is_waited_for() {
    let (server, target) = server("away");
    block_on(async {
        let mut scene = Scene::start(&target, options(&target, "a"));
        scene.hand(1..=10);
        scene.told(10).await;
        for (round, away) in [Mode::Refusing, Mode::Up].into_iter().enumerate() {
            // The second round only resets what is open.
            server.set(away);
            let first = 11 + 10 * round as u64;
            scene.hand(first..first + 10);
            if away == Mode::Refusing {
                scene.stands(|standing| *standing == Standing::Connecting).await;
                server.set(Mode::Up);
            }
            scene.told(20 + 10 * round).await;
        }
        server.read_only(true);
        scene.hand(31..=40);
        scene.stands(|standing| *standing == Standing::Connecting).await;
        server.read_only(false);
        scene.agrees(40).await;
    });
}

#[test]
fn a_server_that_goes_silent_is_given_up_on_by_the_deadline() {
    let (server, target) = server("silent");
    block_on(async {
        let mut scene = Scene::start(&target, options(&target, "a"));
        scene.hand(1..=10);
        scene.told(10).await;
        server.set(Mode::Silent);
        let since = Instant::now();
        scene.hand(11..=20);
        scene.stands(|standing| *standing == Standing::Connecting).await;
        server.set(Mode::Up);
        scene.told(20).await;
        assert!(since.elapsed() < FAR);
        scene.agrees(20).await;
    });
}

#[test]
fn a_slow_server_is_waited_for() {
    let (server, target) = server("slow");
    block_on(async {
        let mut scene = Scene::start(&target, options(&target, "a"));
        scene.hand(1..=1);
        scene.told(1).await;
        server.slow(Duration::from_secs(2));
        scene.hand(2..=60);
        scene.told(2).await;
        server.slow(Duration::ZERO);
        scene.agrees(60).await;
    });
}

#[test]
fn what_the_database_refuses_is_set_aside_listed_and_replayed() {
    let (server, target) = server("content");
    block_on(async {
        server.fault_on("INSERT INTO record_attempt", "m17", 1000, Act::Error("22003"));
        let mut scene = Scene::start(&target, options(&target, "a"));
        scene.hand(1..=40);
        // An id that holds a zero byte is no text to PostgreSQL.
        scene.handle.hand(41, delivered("m41\0é"));
        scene.told(41).await;
        let mut record = Record::open(&target, "operator").await.expect("opens");
        let aside: Vec<_> = quarantine(record.connection()).await.expect("listed");
        let aside: Vec<_> = aside.iter().map(|row| (row[1].to_string(), row[4].to_string())).collect();
        let reasons = ["22003 by the script", "22021 invalid byte"];
        let expected = [("m17", reasons[0]), ("m41\\u0000\\u00e9", reasons[1])];
        assert_eq!(aside.len(), 2);
        for ((id, reason), (wanted, why)) in aside.iter().zip(expected) {
            assert!(id == wanted && reason.contains(why), "{id}: {reason}");
        }
        assert_eq!(record.replay_set_aside().await.expect("replayed"), (0, 2), "it refuses them still");
        server.forgive();
        assert_eq!(record.replay_set_aside().await.expect("replayed"), (1, 1));
        let rows = Filter::default().page(record.connection(), 100).await.expect("rows");
        assert_eq!(rows.len(), 40);
    });
}

#[test]
fn a_second_process_of_a_name_is_kept_out_while_the_first_lives_and_fences_it_off_when_it_is_silent() {
    both("fenced", |target| {
        block_on(async {
            let lease = 400_000;
            let with = |holder: &str| {
                let mut options = options(&target, holder);
                options.figures.lease = lease;
                options
            };
            let mut first = Scene::start(&target, with("a"));
            first.stands(|standing| *standing == Standing::Held(1)).await;
            let second = Scene::start(&target, with("b"));
            let standing = second.stands(|standing| *standing != Standing::Connecting).await;
            assert!(matches!(standing, Standing::Other { .. }), "{standing:?}");
            second.stands(|standing| *standing == Standing::Other { lives: true }).await;
            drop(second);
            first.hand(1..=5);
            first.told(5).await;
            // The same state folder: its old process is dead, whatever the record says.
            let again = Scene::start(&target, with("a"));
            again.stands(|standing| *standing == Standing::Held(2)).await;
            // And the old process, if it was not dead after all, can write no more from then on.
            first.hand(6..=6);
            first.stands(|standing| *standing == Standing::Fenced).await;
            let mut record = Record::open(&target, "n1").await.expect("opens");
            let late = record.write(1, &[&delivered("by the first")]).await;
            assert!(matches!(late, Err(Failure::Fenced(_))), "{late:?}");
            again.hand(7..=7);
            drop(again);
            // A holder that is gone for good is silent for a lease; then its name is free.
            let third = Scene::start(&target, with("c"));
            third.stands(|standing| *standing == Standing::Held(3)).await;
        });
    });
}

#[test]
fn a_lock_is_waited_for() {
    let target = sqlite(&folder("busy"));
    let Target::Sqlite { file, .. } = &target else { return };
    block_on(async {
        let mut scene = Scene::start(&target, options(&target, "a"));
        scene.hand(1..=1);
        scene.told(1).await;
        let other = rusqlite::Connection::open(file).expect("opens");
        other.execute_batch("BEGIN EXCLUSIVE").expect("the lock");
        scene.hand(2..=20);
        // Longer than SQLite itself waits: the writer has met SQLITE_BUSY by then.
        let busy = tokio::time::timeout(Duration::from_millis(600), scene.written.recv()).await;
        assert!(busy.is_err(), "nothing is written while another has the lock");
        other.execute_batch("ROLLBACK").expect("given back");
        scene.agrees(20).await;
    });
}

fn padded(n: u64, effect: Effect) -> Entry {
    let mut end = ended(&format!("m{n:05}-{}", "x".repeat(50)), Outcome::Failed, &[effect; 3]);
    end.once = false;
    end.ended_at = 10_000 + i64::try_from(n).expect("small");
    entry(end)
}

#[test]
fn a_full_file_makes_room_by_its_oldest_certain_rows_or_waits_for_the_operator() {
    for (name, drop_oldest) in [("full-drops", true), ("full-waits", false)] {
        let place = folder(name);
        let target = Target::Sqlite { file: place.join("relay.sqlite"), most_bytes: Some(600_000) };
        block_on(async {
            let mut scene = Scene::start(&target, Options { drop_oldest, ..options(&target, "a") });
            scene.handle.hand(0, padded(0, Effect::InDoubt));
            (1..=1200).for_each(|n| scene.handle.hand(n, padded(n, Effect::Never)));
            if drop_oldest {
                scene.told(1201).await;
            } else {
                let settled = async {
                    while tokio::time::timeout(Duration::from_secs(1), scene.written.recv()).await.is_ok() {}
                };
                settled.await;
                let mut record = Record::open(&target, "operator").await.expect("opens");
                let before = Filter::default().page(record.connection(), 9999).await.expect("rows").len();
                assert!(before > 100 && before < 1201, "{before} fit");
                assert_eq!(record.prune(10_000 + 1_000_000).await.expect("pruned"), before as u64 - 1);
                let more = tokio::time::timeout(FAR, scene.written.recv()).await;
                assert!(more.expect("in time").is_some(), "it goes on where there is room again");
            }
            let mut record = Record::open(&target, "operator").await.expect("opens");
            let doubts = Filter { effect: Some("in_doubt".into()), ..Filter::default() };
            let doubts = doubts.page(record.connection(), 9).await.expect("rows");
            assert_eq!(doubts.len(), 1, "what is in doubt never makes room");
            assert!(std::fs::metadata(place.join("relay.sqlite")).expect("a file").len() <= 600_000);
        });
    }
}

#[test]
fn a_damaged_file_is_named_left_alone_and_begun_anew_once_it_is_set_aside() {
    let place = folder("damaged");
    let (target, file) = (sqlite(&place), place.join("relay.sqlite"));
    let garbage = b"this is no database, whatever its name says".repeat(200);
    std::fs::write(&file, &garbage).expect("a file");
    block_on(async {
        match Record::open(&target, "n1").await.err() {
            Some(Failure::Damaged(why)) => assert!(why.contains("relay.sqlite"), "{why}"),
            other => panic!("{other:?}"),
        }
        let scene = Scene::start(&target, options(&target, "a"));
        scene.hand(1..=9);
        let mut standing = scene.handle.standing();
        let waited = tokio::time::timeout(Duration::from_millis(300), standing.changed()).await;
        assert!(waited.is_err(), "it does not go on by itself");
        assert_eq!(std::fs::read(&file).expect("there"), garbage, "nothing is deleted");
        std::fs::rename(&file, place.join("aside")).expect("by the operator's word");
        scene.agrees(9).await;
    });
}

fn certificate(
    place: &Path, name: &str, signer: Option<&rcgen::Issuer<'_, rcgen::KeyPair>>,
) -> rcgen::KeyPair {
    let key = rcgen::KeyPair::generate().expect("a key");
    let mut wanted = rcgen::CertificateParams::new(vec!["127.0.0.1".into()]).expect("a name");
    if signer.is_none() {
        wanted.is_ca = rcgen::IsCa::Ca(rcgen::BasicConstraints::Unconstrained);
    }
    let made = match signer {
        None => wanted.self_signed(&key),
        Some(signer) => wanted.signed_by(&key, signer),
    };
    std::fs::write(place.join(format!("{name}.pem")), made.expect("signed").pem()).expect("a file");
    std::fs::write(place.join(format!("{name}.key")), key.serialize_pem()).expect("a file");
    key
}

#[test]
fn tls_holds_both_sides_to_their_certificates() {
    let place = folder("tls");
    let authority = certificate(&place, "ca", None);
    let mut wanted = rcgen::CertificateParams::new(vec![]).expect("no name");
    wanted.is_ca = rcgen::IsCa::Ca(rcgen::BasicConstraints::Unconstrained);
    let issuer = rcgen::Issuer::new(wanted, authority);
    certificate(&place, "server", Some(&issuer));
    certificate(&place, "relay", Some(&issuer));
    certificate(&place, "stranger", None);
    let files = TlsFiles {
        certificate: place.join("server.pem"),
        key: place.join("server.key"),
        clients: Some(place.join("ca.pem")),
    };
    let server = Server::start(&place.join("tables"), Some(files)).expect("a server");
    let target = |authority: &str, own: Option<&str>| {
        let own = own.map(|own| (place.join(format!("{own}.pem")), place.join(format!("{own}.key"))));
        let tls = Tls { authority: place.join(authority), identity: own };
        Target::Postgres(Box::new(Postgres::parse(&server.url(), None, Some(tls)).expect("a URL")))
    };
    block_on(async {
        let good = target("ca.pem", Some("relay"));
        let scene = Scene::start(&good, options(&good, "a"));
        scene.hand(1..=5);
        scene.agrees(5).await;
        for (authority, own) in
            [("stranger.pem", Some("relay")), ("ca.pem", Some("stranger")), ("ca.pem", None)]
        {
            let opened = Record::open(&target(authority, own), "n2").await;
            assert!(matches!(opened.err(), Some(Failure::Down(_))), "{authority} {own:?}");
        }
        assert!(
            Record::open(&postgres(&server), "n2").await.is_ok(),
            "plain connections are the server's to refuse"
        );
    });
}
