//! What the record costs: messages a second and the 99th percentile of the 202, by rounds in which each variant
//! is measured in turn, against the journal alone; and how fast entries are drained. A relay, its partners, its
//! clients and the database share the machine, so that the figures are for comparison with each other.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::PoisonError;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

use criterion::{Criterion, SamplingMode, Throughput};
use pg_standin::{Mode, Server};
use proofs::Failure;
use proofs::load::{Book, Habit, client};
use proofs::partner::{Effects, Manner, start};
use proofs::relay::{Relay, Setting, build};
use proofs::rows::{drain, entry};
use record::model::Entry;
use record::sql::{Server as Postgres, Target};

const ROUNDS: usize = 3;
const SECONDS: f64 = 6.0;
const STALL: Duration = Duration::from_secs(5);
const CLIENTS: u64 = 16;

#[derive(Clone, Copy, PartialEq, Eq)]
enum Variant {
    Journal,
    Sqlite,
    Postgres,
    Stalled,
}

const VARIANTS: [(Variant, &str); 4] = [
    (Variant::Journal, "journal alone"),
    (Variant::Sqlite, "SQLite"),
    (Variant::Postgres, "PostgreSQL stand-in"),
    (Variant::Stalled, "stand-in stalled for 5 s"),
];

fn place(name: &str) -> Result<PathBuf, Failure> {
    let place = Path::new(env!("CARGO_TARGET_TMPDIR")).join(name);
    let _ = std::fs::remove_dir_all(&place);
    std::fs::create_dir_all(&place)?;
    Ok(place)
}

/// Messages a second and the 99th percentile in microseconds; with a pace where one is given, for each client.
async fn measure(
    program: &Path, variant: Variant, partners: &[SocketAddr], pause: Duration,
) -> Result<(f64, u64), Failure> {
    let place = place("record-bench")?;
    let server = match variant {
        Variant::Postgres | Variant::Stalled => Some(Server::start(&place.join("tables"), None)?),
        _ => None,
    };
    let store = match (&server, variant) {
        (Some(server), _) => format!("kind = \"postgres\"\nurl = \"{}\"", server.url()),
        (None, Variant::Sqlite) => "kind = \"sqlite\"".into(),
        _ => "kind = \"journal\"".into(),
    };
    let setting = Setting {
        name: "n1",
        store: &store,
        partners,
        per_s: &[],
        relays: 1,
        held: 128,
        aim_ms: 500,
        deadline_ms: 10_000,
        disk_mb: 512,
        more: "",
    };
    let mut relay = Relay::new(program, &place, &setting)?;
    relay.start()?;
    let book = Book::new()?;
    let clients: Vec<_> = (0..CLIENTS)
        .map(|n| {
            let habit = Habit { seed: n + 1, destinations: partners.len() as u64, pause, messages: None };
            tokio::spawn(client(relay.address.subscribe(), book.clone(), habit))
        })
        .collect();
    let since = Instant::now();
    if variant == Variant::Stalled
        && let Some(server) = &server
    {
        server.set(Mode::Silent);
        tokio::time::sleep(STALL).await;
        server.set(Mode::Up);
    }
    tokio::time::sleep(Duration::from_secs_f64(SECONDS).saturating_sub(since.elapsed())).await;
    let (count, took) = (book.count.load(Ordering::Relaxed), since.elapsed().as_secs_f64());
    book.stop();
    for client in clients {
        client.await?;
    }
    let p99 = book.times.lock().unwrap_or_else(PoisonError::into_inner).value_at_quantile(0.99);
    let refused = book.refused.load(Ordering::Relaxed);
    if refused > count / 100 {
        eprintln!("{refused} refused beside {count}");
    }
    Ok((count as f64 / took, p99))
}

fn median(mut figures: Vec<f64>) -> f64 {
    figures.sort_by(f64::total_cmp);
    figures.get(figures.len() / 2).copied().unwrap_or(0.0)
}

async fn pairs(program: &Path) -> Result<(), Failure> {
    let effects = Effects::default();
    let mut partners = Vec::new();
    for _ in 0..4 {
        partners.push(start(Manner::Prompt, effects.clone()).await?);
    }
    for (load, pause) in [("as fast as they are answered", 0), ("at some 1,000 a second", 32_000)] {
        let mut figures = vec![vec![]; VARIANTS.len()];
        for round in 0..ROUNDS {
            for step in 0..VARIANTS.len() {
                // Each round begins with another, so that none always comes first.
                let at = (round + step) % VARIANTS.len();
                let (variant, _) = VARIANTS[at];
                figures[at].push(measure(program, variant, &partners, Duration::from_micros(pause)).await?);
            }
        }
        println!(
            "{CLIENTS} clients, {load}; median of {ROUNDS} rounds, and of the ratios to the journal in them"
        );
        for (at, (_, name)) in VARIANTS.iter().enumerate() {
            let pace = median(figures[at].iter().map(|figure| figure.0).collect());
            let p99 = median(figures[at].iter().map(|figure| figure.1 as f64).collect());
            let against = figures[at].iter().zip(&figures[0]);
            let ratio = |of: &dyn Fn(&(f64, u64)) -> f64| {
                median(against.clone().map(|(one, base)| of(one) / of(base)).collect())
            };
            println!(
                "  {name:<26} {pace:>8.0} messages/s ({:.2})   p99 {p99:>8.0} us ({:.2})",
                ratio(&|figure| figure.0),
                ratio(&|figure| figure.1 as f64),
            );
        }
    }
    Ok(())
}

fn drained(criterion: &mut Criterion, runtime: &tokio::runtime::Runtime) -> Result<(), Failure> {
    const ENTRIES: u64 = 10_000;
    let place = place("record-drain")?;
    let server = Server::start(&place.join("tables"), None)?;
    let targets = [
        ("SQLite", Target::Sqlite { file: place.join("relay.sqlite"), most_bytes: None }),
        ("PostgreSQL stand-in", Target::Postgres(Box::new(Postgres::parse(&server.url(), None, None)?))),
    ];
    let mut group = criterion.benchmark_group("drain 10,000 entries");
    group.sampling_mode(SamplingMode::Flat).sample_size(10).throughput(Throughput::Elements(ENTRIES));
    for (name, target) in targets {
        let mut first = 0;
        group.bench_function(name, |bencher| {
            bencher.iter_custom(|times| {
                let mut took = Duration::ZERO;
                for _ in 0..times {
                    let pace = runtime.block_on(drain(&target, first, ENTRIES)).unwrap_or(f64::MIN_POSITIVE);
                    first += ENTRIES;
                    took += Duration::from_secs_f64(ENTRIES as f64 / pace);
                }
                took
            });
        });
    }
    group.finish();
    let one = entry(7);
    criterion.bench_function("an entry to bytes and back", |bencher| {
        bencher.iter(|| Entry::decode(&one.encode()));
    });
    Ok(())
}

fn main() -> Result<(), Failure> {
    // Run as a test, nothing is measured.
    if std::env::args().any(|argument| argument == "--test") || !std::env::args().any(|a| a == "--bench") {
        return Ok(());
    }
    let runtime = tokio::runtime::Builder::new_multi_thread().worker_threads(2).enable_all().build()?;
    let mut criterion = Criterion::default().configure_from_args();
    drained(&mut criterion, &runtime)?;
    let program = build(false)?;
    runtime.block_on(pairs(&program))?;
    criterion.final_summary();
    Ok(())
}
