//! What is written and what is asked, in both databases: one row a message however often and by whomever it is
//! told, doubts that are settled, invariants that are found broken, statements held against the record.

mod both;

use both::*;
use proptest::prelude::*;
use record::model::*;
use record::query::{self, Filter, INVARIANTS, reconcile, show, statement, verify};
use record::sql::{Connection, Target};
use record::store::Record;
use record::writer::{Claim, Failure};

async fn open(target: &Target, relay: &str) -> (Record, i64) {
    let mut record = Record::open(target, relay).await.expect("opens");
    let Ok(Claim::Held(epoch)) = record.claim(&format!("{relay}'s folder"), None).await else {
        panic!("the name is free")
    };
    (record, epoch)
}

async fn all(record: &mut Record) -> Vec<(String, String, String, i64, String)> {
    let page = Filter::default().page(record.connection(), 1000).await.expect("rows");
    page.into_iter().map(|m| (m.id, m.outcome, m.effect, m.attempts, m.relays)).collect()
}

fn row(
    id: &str, outcome: &str, effect: &str, attempts: i64, relays: &str,
) -> (String, String, String, i64, String) {
    (id.into(), outcome.into(), effect.into(), attempts, relays.into())
}

#[test]
fn an_entry_that_is_written_again_changes_nothing() {
    both("again", |target| {
        block_on(async {
            let (mut record, epoch) = open(&target, "n1").await;
            let (a, b) = (delivered("a"), in_doubt("b"));
            for _ in 0..3 {
                record.write(epoch, &[&a, &b]).await.expect("written");
            }
            let rows = all(&mut record).await;
            assert_eq!(
                rows,
                [row("a", "delivered", "took", 1, "n1"), row("b", "failed", "in_doubt", 1, "n1")]
            );
            assert_eq!(verify(record.connection(), 9).await.expect("asked"), []);
            let whole = show(record.connection(), "a").await.expect("asked").expect("there");
            assert_eq!((whole.attempts.len(), whole.message.tenant.as_deref()), (1, Some("desk's")));
            assert_eq!(whole.message.evidence_text.as_deref(), Some("HTTP/1.1 200"));
            assert_eq!(show(record.connection(), "c").await.expect("asked"), None);
        });
    });
}

#[test]
fn a_message_that_two_relays_tell_of_is_one_row_that_tells_both() {
    both("two-relays", |target| {
        block_on(async {
            let (mut one, epoch) = open(&target, "n1").await;
            let (mut two, other) = open(&target, "n1-b").await;
            // The first relay's disk was lost with an open attempt; the second one delivered.
            let first = ended("m", Outcome::Failed, &[Effect::InDoubt]);
            let mut second = ended("m", Outcome::Delivered, &[Effect::Never, Effect::Took]);
            second.trace.taken_at = 3000;
            second.ended_at = 4000;
            for _ in 0..2 {
                two.write(other, &[&entry(second.clone())]).await.expect("written");
                one.write(epoch, &[&entry(first.clone())]).await.expect("written");
            }
            // The name of one is the start of the other's: they are told apart.
            assert_eq!(all(&mut one).await, [row("m", "delivered", "took", 3, "n1-b,n1")]);
            let whole = show(one.connection(), "m").await.expect("asked").expect("there");
            assert_eq!((whole.message.taken_at, whole.message.ended_at), (1000, 5000));
            assert_eq!(verify(one.connection(), 9).await.expect("asked"), []);
        });
    });
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 48, failure_persistence: None, ..ProptestConfig::default() })]

    /// In whatever order, and however often, the same is told: it comes to the same row.
    #[test]
    fn the_order_of_tellings_does_not_matter(
        tellings in prop::collection::vec((0..4_usize, 0..3_usize, 1_i64..5), 1..5),
        again in prop::collection::vec(any::<prop::sample::Index>(), 0..6),
        seed in any::<u64>(),
    ) {
        let outcomes = [Outcome::Delivered, Outcome::Refused, Outcome::Failed, Outcome::Withdrawn];
        let effects = [Effect::Never, Effect::InDoubt, Effect::Took];
        let entries: Vec<(String, Entry)> = (0_i64..).zip(&tellings).map(|(n, (outcome, effect, at))| {
            let effect = if *outcome == 0 { Effect::Took } else { effects[*effect] };
            let mut end = ended("m", outcomes[*outcome], &[effect]);
            // Ends that fall on one moment are told apart by nothing; they are not what this is about.
            (end.trace.taken_at, end.ended_at) = (100 + n, 1000 * at + n);
            (format!("n{n}"), entry(end))
        }).collect();
        let mut shuffled: Vec<_> = entries.iter().chain(again.iter().map(|at| at.get(&entries))).collect();
        let len = shuffled.len();
        (1..len).for_each(|i| shuffled.swap(i, (seed as usize).wrapping_mul(31 + i) % (i + 1)));
        let write = |name: &str, order: Vec<&(String, Entry)>| {
            let target = sqlite(&folder(name));
            block_on(async {
                for (relay, entry) in order {
                    let (mut record, epoch) = open(&target, relay).await;
                    record.write(epoch, &[entry]).await.expect("written");
                }
                let (mut record, _) = open(&target, "reader").await;
                let whole = show(record.connection(), "m").await.expect("asked").expect("there").message;
                let mut relays: Vec<_> = whole.relays.split(',').map(String::from).collect();
                relays.sort();
                (whole.outcome, whole.effect, whole.attempts, whole.taken_at, whole.ended_at, relays)
            })
        };
        let straight = write("order-straight", entries.iter().collect());
        let mixed = write("order-mixed", shuffled);
        prop_assert_eq!(straight, mixed);
    }
}

#[test]
fn a_receipt_settles_a_doubt_only_with_the_right_mic_from_the_right_partner_and_in_any_order() {
    both("settle", |target| {
        block_on(async {
            let (mut record, epoch) = open(&target, "n1").await;
            let house = |id: &str| {
                let mut end = ended(id, Outcome::Failed, &[Effect::InDoubt]);
                end.receipt = Some(Expected { partner: "HOUSE".into(), mic: "right".into() });
                entry(end)
            };
            let elsewhere = match late("elsewhere", "receipt", Effect::Took, Some("right")) {
                Entry::Late(late) => Entry::Late(Late { source: "ANOTHER".into(), ..late }),
                other => other,
            };
            let before = late("before", "receipt", Effect::Took, Some("right"));
            record.write(epoch, &[&before]).await.expect("written");
            for id in ["before", "after", "wrong", "elsewhere", "negative"] {
                record.write(epoch, &[&house(id)]).await.expect("written");
            }
            let after = late("after", "receipt", Effect::Took, Some("right"));
            let wrong = late("wrong", "receipt", Effect::Took, Some("another"));
            let negative = late("negative", "receipt", Effect::InDoubt, Some("right"));
            record.write(epoch, &[&after, &wrong, &elsewhere, &negative]).await.expect("written");
            let effects: Vec<_> =
                all(&mut record).await.into_iter().map(|row| (row.0, row.1, row.2)).collect();
            let expected = [
                ("after", "took"),
                ("before", "took"),
                ("elsewhere", "in_doubt"),
                ("negative", "in_doubt"),
                ("wrong", "in_doubt"),
            ];
            let expected = expected.map(|(id, effect)| (id.into(), "failed".into(), effect.into()));
            assert_eq!(effects, expected, "the outcome stays what the client was told");
            // The end once more does not bring the doubt back.
            record.write(epoch, &[&house("after")]).await.expect("written");
            assert_eq!(all(&mut record).await[0].2, "took");
            assert_eq!(verify(record.connection(), 9).await.expect("asked"), []);
        });
    });
}

/// Each invariant is found broken where it is broken on purpose, and only that one or what follows from it.
#[test]
fn verify_finds_every_breach() {
    let breaks = [
        ("delivered-took", "UPDATE record_message SET effect = 'in_doubt' WHERE id = 'a'"),
        ("delivered-evidence", "UPDATE record_message SET evidence = 'none' WHERE id = 'a'"),
        ("never-ran", "UPDATE record_message SET effect = 'never' WHERE id = 'b'"),
        ("never-contradicted", "INSERT INTO record_event VALUES ('c', 'answer', 'x', 'y', 1, 'took', NULL)"),
        ("doubt-open", "INSERT INTO record_event VALUES ('b', 'answer', 'x', 'y', 1, 'took', NULL)"),
        ("attempts-counted", "UPDATE record_message SET attempts = 9 WHERE id = 'a'"),
        ("attempts-twelve", "UPDATE record_attempt SET message = 'e' WHERE message = 'f'"),
        ("attempts-owned", "DELETE FROM record_message WHERE id = 'a'"),
        ("attempts-singly", "UPDATE record_attempt SET ended_at = 99999 WHERE message = 'd' AND attempt = 0"),
        ("once", "UPDATE record_attempt SET effect = 'in_doubt' WHERE message = 'd' AND attempt = 0"),
        ("once-elsewhere", "UPDATE record_attempt SET message = 'a' WHERE message = 'g'"),
    ];
    assert_eq!(breaks.map(|(name, _)| name), INVARIANTS.map(|invariant| invariant.name));
    let target = sqlite(&folder("verify"));
    let Target::Sqlite { file, .. } = &target else { return };
    block_on(async {
        let (mut record, epoch) = open(&target, "n1").await;
        let mut g = ended("g", Outcome::Delivered, &[Effect::Took]);
        g.trace.taken_at = 900;
        let many = |id: &str, at: i64, n: usize| {
            let mut end = ended(id, Outcome::Failed, &vec![Effect::Never; n]);
            end.trace.taken_at = at;
            end.trace
                .attempts
                .iter_mut()
                .for_each(|attempt| attempt.number += if id == "f" { 20 } else { 0 });
            entry(end)
        };
        let entries = [
            delivered("a"),
            in_doubt("b"),
            entry(ended("c", Outcome::Refused, &[Effect::Never])),
            entry(ended("d", Outcome::Delivered, &[Effect::Never, Effect::Took])),
            many("e", 800, 12),
            many("f", 800, 1),
            entry(g),
        ];
        record.write(epoch, &entries.iter().collect::<Vec<_>>()).await.expect("written");
        assert_eq!(verify(record.connection(), 9).await.expect("asked"), [], "sound before");
        for (name, sql) in breaks {
            let copy = folder("verify-copy").join("relay.sqlite");
            record.connection().rows("PRAGMA wal_checkpoint(TRUNCATE)", &[]).await.expect("in the file");
            std::fs::copy(file, &copy).expect("copied");
            let by_hand = rusqlite::Connection::open(&copy).expect("opens");
            by_hand.execute_batch("PRAGMA ignore_check_constraints = 1").expect("by hand");
            by_hand.execute_batch(sql).expect(name);
            drop(by_hand);
            let copied = Target::Sqlite { file: copy, most_bytes: None };
            let (mut broken, _) = open(&copied, "reader").await;
            let found = verify(broken.connection(), 9).await.expect("asked");
            assert!(found.iter().any(|breach| breach.invariant == name), "{name}: {found:?}");
        }
    });
}

#[test]
fn filters_and_pages_find_each_message_once() {
    both("pages", |target| {
        block_on(async {
            let (mut record, epoch) = open(&target, "n1").await;
            for n in 0..25_i64 {
                let mut end = ended(&format!("m{n:02}"), Outcome::Delivered, &[Effect::Took]);
                // Several end at one moment: the id tells them apart.
                (end.ended_at, end.destination) = (10_000 + n / 4, n % 3);
                record.write(epoch, &[&entry(end)]).await.expect("written");
            }
            let mut filter = Filter { since: Some(10_001), until: Some(10_006), ..Filter::default() };
            let (mut found, mut pages) = (vec![], 0);
            loop {
                let page = filter.page(record.connection(), 7).await.expect("a page");
                let Some(last) = page.last() else { break };
                filter.after = Some((last.ended_at, last.id.clone()));
                found.extend(page.into_iter().map(|message| message.id));
                pages += 1;
            }
            assert_eq!((found, pages), ((4..24).map(|n| format!("m{n:02}")).collect(), 3));
            let quotes = Filter { tenant: Some("desk's".into()), destination: Some(1), ..Filter::default() };
            assert_eq!(quotes.page(record.connection(), 99).await.expect("a page").len(), 8);
            let counted = quotes.count(record.connection()).await.expect("a count");
            assert_eq!(counted, [("delivered".into(), "took".into(), 8)]);
            let none = Filter { class: Some("' OR 1 = 1 --".into()), ..Filter::default() };
            assert_eq!(none.page(record.connection(), 99).await.expect("a page"), []);
        });
    });
}

#[test]
fn a_statement_is_held_against_the_record_and_settles_what_it_can() {
    let wrong = |text: &str| statement(text.as_bytes()).expect_err("wrong").to_string();
    assert_eq!(wrong("id,amount\nx,3\n"), "line 1: the header has no column \"message\": id,amount");
    assert_eq!(wrong("amount,message\n3,x\n4,\n"), "line 3: the column \"message\" is empty");
    assert!(wrong("message,amount\nx\n").starts_with("line 2: "));
    both("reconcile", |target| {
        block_on(async {
            let (mut record, epoch) = open(&target, "n1").await;
            let refused = entry(ended("refused", Outcome::Refused, &[Effect::Never]));
            let entries =
                [delivered("agreed"), delivered("not there"), in_doubt("took"), in_doubt("open"), refused];
            record.write(epoch, &entries.iter().collect::<Vec<_>>()).await.expect("written");
            let ids =
                statement("message\nagreed\ntook\nrefused\nstranger\nagreed\n".as_bytes()).expect("read");
            let filter = Filter { destination: Some(7), ..Filter::default() };
            let found =
                reconcile(&mut record, &filter, &ids, "house.csv", 1, (false, false)).await.expect("held");
            assert_eq!(found.agreed, 1);
            let lists = [
                (&found.missing_there, "not there"),
                (&found.missing_here, "stranger"),
                (&found.contradicted, "refused"),
                (&found.twice_there, "agreed"),
                (&found.settled_took, "took"),
                (&found.in_doubt, "open"),
            ];
            for (list, id) in lists {
                assert_eq!(*list, [id]);
            }
            let effects = |rows: Vec<(String, String, String, i64, String)>| {
                let doubts = rows.into_iter().filter(|row| row.2 == "in_doubt").map(|row| row.0);
                doubts.collect::<Vec<_>>()
            };
            assert_eq!(effects(all(&mut record).await), ["open", "took"], "nothing is settled unasked");
            reconcile(&mut record, &filter, &ids, "house.csv", 1, (true, false)).await.expect("held");
            assert_eq!(effects(all(&mut record).await), ["open"]);
            reconcile(&mut record, &filter, &ids, "house.csv", 1, (true, true)).await.expect("held");
            assert_eq!(effects(all(&mut record).await), [] as [String; 0]);
            record.write(epoch, &[&in_doubt("open")]).await.expect("told again");
            assert_eq!(effects(all(&mut record).await), [] as [String; 0], "what was settled stays so");
            let breaches = verify(record.connection(), 9).await.expect("asked");
            assert_eq!(breaches, [], "what was settled by a statement contradicts nothing");
        });
    });
}

#[test]
fn a_schema_that_is_newer_than_the_program_is_left_alone() {
    both("newer", |target| {
        block_on(async {
            drop(open(&target, "n1").await);
            let far = tokio::time::Instant::now() + std::time::Duration::from_secs(9);
            let mut connection = Connection::open(&target, far).await.expect("opens");
            let newer =
                "INSERT INTO refinery_schema_history VALUES (99, 'later', '2030-01-01T00:00:00Z', '1')";
            connection.execute(newer, &[]).await.expect("by hand");
            match Record::open(&target, "n1").await.err() {
                Some(Failure::Schema(why)) => assert!(why.contains("version 99"), "{why}"),
                other => panic!("{other:?}"),
            }
        });
    });
}

/// SQLite stands in for PostgreSQL's tables, so that what is sent there is read by PostgreSQL's grammar here.
#[test]
fn every_statement_is_postgresqls_grammar_too() {
    let server = pg_standin::Server::start(&folder("grammar").join("tables"), None).expect("a server");
    let target = postgres(&server);
    block_on(async {
        let (mut record, epoch) = open(&target, "n1").await;
        record.write(epoch, &[&delivered("a"), &in_doubt("b")]).await.expect("written");
        record.set_aside(epoch, 3, 1, "why", &delivered("c")).await.expect("set aside");
        record.replay_set_aside().await.expect("replayed");
        record.drop_oldest(epoch, None).await.expect("dropped");
        record.prune(3).await.expect("pruned");
        verify(record.connection(), 3).await.expect("asked");
        show(record.connection(), "a").await.expect("asked");
        query::quarantine(record.connection()).await.expect("asked");
        let ids = statement("message\nb\n".as_bytes()).expect("read");
        let filter = Filter { since: Some(1), after: Some((1, "a".into())), ..Filter::default() };
        reconcile(&mut record, &filter, &ids, "s", 1, (true, true)).await.expect("held");
        filter.count(record.connection()).await.expect("asked");
    });
    let heard = server.heard();
    assert!(heard.len() > 30, "{}", heard.len());
    for sql in heard {
        let read = sqlparser::parser::Parser::parse_sql(&sqlparser::dialect::PostgreSqlDialect {}, &sql);
        assert!(read.is_ok(), "{sql}: {read:?}");
    }
}
