//! The proof of the record: relays under load, relays and database killed at points drawn from the seed, and in
//! the end the record held against what the partners and the clients noted.

use std::collections::HashMap;
use std::path::{Path, PathBuf};
use std::sync::PoisonError;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

use pg_standin::{Act, Mode, Server};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use record::query::{Filter, verify};
use record::sql::{Connection, Server as Postgres, Target};

use crate::Failure;
use crate::load::{Book, Habit, client};
use crate::partner::{self, Effects, Manner};
use crate::relay::{Relay, Setting, build};

/// Relays at once.
const RELAYS: usize = 2;
/// Clients of each.
const CLIENTS: u64 = 12;
/// Partners, one a destination.
const PARTNERS: u64 = 3;
/// A message is given up after this.
const DEADLINE_MS: u32 = 2500;
/// Between two kills at the most.
const BETWEEN_MS: u64 = 700;
/// The book has to grow within this after each kill, and the record to hold all within it at the end.
const WITHIN: Duration = Duration::from_secs(30);

/// Which database.
#[derive(Clone, Copy, Debug, PartialEq, Eq, clap::ValueEnum)]
pub enum Backend {
    /// A file for each relay
    Sqlite,
    /// One for all relays, by the stand-in
    Postgres,
}

/// What is run.
#[derive(Clone, Debug)]
pub struct Run {
    /// Which database.
    pub backend: Backend,
    /// Kills.
    pub kills: u32,
    /// What is drawn comes of it.
    pub seed: u64,
    /// The relay's order of writes is broken on purpose.
    pub broken_order: bool,
    /// Files are left here.
    pub folder: PathBuf,
}

/// What was counted.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counted {
    /// Kills that were followed by more messages.
    pub kills: u32,
    /// Messages taken on.
    pub messages: u64,
    /// The record says otherwise than the partners, or breaks an invariant.
    pub disagree: u64,
    /// A second effect of what must have one, or a second row.
    pub twice: u64,
    /// Taken on and not in the record.
    pub lost: u64,
    /// In doubt, in the record.
    pub in_doubt: u64,
    /// Of these, what did take effect.
    pub in_doubt_took: u64,
}

impl Counted {
    /// Nothing speaks against the record.
    pub fn clean(&self) -> bool {
        (self.disagree, self.twice, self.lost) == (0, 0, 0)
    }
}

impl std::fmt::Display for Counted {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let Counted { kills, messages, disagree, twice, lost, in_doubt, .. } = self;
        write!(
            f,
            "record: kills={kills} messages={messages} disagree={disagree} twice={twice} lost={lost} \
             indoubt={in_doubt}"
        )
    }
}

/// Runs the proof.
///
/// # Errors
/// Where it could not be run to its end, or nothing was taken on after a kill.
pub async fn run(run: &Run) -> Result<Counted, Failure> {
    let program = build(run.broken_order)?;
    let _ = std::fs::remove_dir_all(&run.folder);
    std::fs::create_dir_all(&run.folder)?;
    let tables = run.folder.join("tables");
    let server = (run.backend == Backend::Postgres).then(|| Server::start(&tables, None)).transpose()?;
    let effects = Effects::default();
    let mut partners = Vec::new();
    for n in 0..PARTNERS {
        partners.push(partner::start(Manner::Drawn(run.seed.wrapping_add(n)), effects.clone()).await?);
    }
    let store = match &server {
        Some(server) => format!("kind = \"postgres\"\nurl = \"{}\"", server.url()),
        None => "kind = \"sqlite\"".into(),
    };
    let book = Book::new()?;
    let (mut relays, mut clients) = (Vec::new(), Vec::new());
    for n in 0..RELAYS {
        let name = format!("n{n}");
        let setting = Setting {
            name: &name,
            store: &store,
            partners: &partners,
            per_s: &[],
            relays: 1,
            held: 64,
            aim_ms: 500,
            deadline_ms: DEADLINE_MS,
            disk_mb: 64,
            more: "",
        };
        let mut relay = Relay::new(&program, &run.folder, &setting)?;
        relay.start()?;
        for c in 0..CLIENTS {
            let seed = run.seed ^ ((n as u64 + 1) << 40) ^ ((c + 1) << 32);
            let pause = Duration::from_millis(20);
            let habit = Habit { seed, destinations: PARTNERS, pause, messages: None };
            clients.push(tokio::spawn(client(relay.address.subscribe(), book.clone(), habit)));
        }
        relays.push(relay);
    }
    let mut rng = SmallRng::seed_from_u64(run.seed);
    let mut counted = Counted::default();
    for n in 0..run.kills {
        // The moment is part of what is drawn.
        tokio::time::sleep(Duration::from_millis(rng.random_range(50..BETWEEN_MS))).await;
        let before = book.count.load(Ordering::Relaxed);
        let what = strike(&mut relays, server.as_ref(), &run.folder, &mut rng).await?;
        let since = Instant::now();
        while book.count.load(Ordering::Relaxed) <= before {
            if since.elapsed() > WITHIN {
                return Err(format!("nothing was taken on after kill {n}: {what}").into());
            }
            tokio::time::sleep(Duration::from_millis(2)).await;
        }
        counted.kills += 1;
        eprintln!("kill {:>3}: {what}; {before} messages so far", n + 1);
    }
    book.stop();
    for client in clients {
        client.await?;
    }
    let taken = book.taken.lock().unwrap_or_else(PoisonError::into_inner).clone();
    let sent = book.sent.lock().unwrap_or_else(PoisonError::into_inner).clone();
    counted.messages = taken.len() as u64;
    let targets: Vec<Target> = match &server {
        Some(server) => vec![Target::Postgres(Box::new(Postgres::parse(&server.url(), None, None)?))],
        None => (0..RELAYS)
            .map(|n| {
                let file = run.folder.join(format!("n{n}.state/relay.sqlite"));
                Target::Sqlite { file, most_bytes: None }
            })
            .collect(),
    };
    // Until all is recorded, or it does not come any more.
    let until = Instant::now() + WITHIN;
    let rows = loop {
        let rows = read(&targets).await?;
        let all = taken.keys().all(|id| rows.contains_key(id));
        if all || Instant::now() > until {
            break rows;
        }
        tokio::time::sleep(Duration::from_millis(200)).await;
    };
    for relay in &mut relays {
        if !relay.stop()? {
            return Err("a relay did not end well".into());
        }
    }
    drop(rows);
    count(&mut counted, (&sent, &taken), &effects, &read(&targets).await?);
    for target in &targets {
        let mut connection = open(target).await?;
        for breach in verify(&mut connection, 20).await? {
            eprintln!("broken: {}: {:?}", breach.says, breach.messages);
            counted.disagree += breach.messages.len() as u64;
        }
    }
    Ok(counted)
}

async fn open(target: &Target) -> Result<Connection, Failure> {
    let far = tokio::time::Instant::now() + WITHIN;
    Ok(Connection::open(target, far).await?)
}

/// One fault, and what it was.
async fn strike(
    relays: &mut [Relay], server: Option<&Server>, folder: &Path, rng: &mut SmallRng,
) -> Result<String, Failure> {
    let victim = rng.random_range(0..relays.len());
    let away = Duration::from_millis(rng.random_range(5..400));
    let kind = rng.random_range(0..10);
    let kill = |relays: &mut [Relay]| {
        let relay = relays.get_mut(victim).ok_or("no relay")?;
        relay.kill();
        relay.start()
    };
    // A lock on the file, or a server that is gone.
    let strike_database =
        |away: Duration| -> Result<Box<dyn FnOnce() -> Result<(), Failure> + Send>, Failure> {
            if let Some(server) = server {
                server.set(Mode::Refusing);
                return Ok(Box::new(|| Ok(())));
            }
            let file = folder.join(format!("n{victim}.state/relay.sqlite"));
            let connection = rusqlite::Connection::open(file)?;
            connection.busy_timeout(away + Duration::from_secs(5))?;
            connection.execute_batch("BEGIN EXCLUSIVE")?;
            Ok(Box::new(move || Ok(connection.execute_batch("ROLLBACK")?)))
        };
    match kind {
        0..6 => {
            kill(relays)?;
            Ok(format!("relay n{victim}"))
        }
        6 | 7 => {
            let back = strike_database(away)?;
            kill(relays)?;
            back()?;
            if let Some(server) = server {
                server.set(Mode::Up);
            }
            Ok(format!("relay n{victim}, while the database is away"))
        }
        8 => {
            let back = strike_database(away)?;
            tokio::time::sleep(away).await;
            back()?;
            if let Some(server) = server {
                server.set(Mode::Up);
            }
            Ok(format!("the database, for {} ms", away.as_millis()))
        }
        _ => match server {
            Some(server) => {
                let act = if rng.random_bool(0.5) { Act::CloseBefore } else { Act::CloseAfter };
                server.fault("COMMIT", 1, act.clone());
                Ok(format!("the connection, at a commit: {act:?}"))
            }
            None => {
                kill(relays)?;
                kill(relays)?;
                Ok(format!("relay n{victim}, twice in a row"))
            }
        },
    }
}

/// What a record says of a message.
#[derive(Clone, Debug)]
struct OutgoingFrame {
    outcome: String,
    effect: String,
    rows: u64,
}

async fn read(targets: &[Target]) -> Result<HashMap<String, OutgoingFrame>, Failure> {
    let mut rows: HashMap<String, OutgoingFrame> = HashMap::new();
    for target in targets {
        let mut connection = open(target).await?;
        let mut filter = Filter::default();
        loop {
            let page = filter.page(&mut connection, 5000).await?;
            let Some(last) = page.last() else { break };
            filter.after = Some((last.ended_at, last.id.clone()));
            for message in page {
                let said = OutgoingFrame { outcome: message.outcome, effect: message.effect, rows: 0 };
                rows.entry(message.id).or_insert(said).rows += 1;
            }
        }
    }
    Ok(rows)
}

type Noted<'a> = (&'a HashMap<String, bool>, &'a HashMap<String, bool>);

fn count(
    counted: &mut Counted, (sent, taken): Noted, effects: &Effects, rows: &HashMap<String, OutgoingFrame>,
) {
    for id in taken.keys().filter(|id| !rows.contains_key(*id)) {
        eprintln!("lost: {id}");
        counted.lost += 1;
    }
    for (id, said) in rows {
        let took = effects.of(id) > 0;
        let agrees = match (said.outcome.as_str(), said.effect.as_str()) {
            ("delivered", "took") => took,
            ("delivered", _) | (_, "never") if took => false,
            ("delivered", _) => false,
            (_, "took") => took,
            (_, "never" | "in_doubt") => true,
            _ => false,
        };
        if !agrees {
            eprintln!("disagree: {id}: {said:?}, effects {}", effects.of(id));
            counted.disagree += 1;
        }
        if said.effect == "in_doubt" {
            counted.in_doubt += 1;
            counted.in_doubt_took += u64::from(took);
        }
        if said.rows > 1 {
            eprintln!("twice: {id}: {} rows", said.rows);
            counted.twice += 1;
        }
    }
    // Also what was sent and never answered must not take effect twice.
    for id in effects.ids() {
        if sent.get(&id).copied().unwrap_or(false) && effects.of(&id) > 1 {
            eprintln!("twice: {id}: {} effects", effects.of(&id));
            counted.twice += 1;
        }
        // Nobody but the record's relays calls a partner: what it took, somebody took on.
        if !rows.contains_key(&id) {
            eprintln!("disagree: {id} took effect and has no row");
            counted.disagree += 1;
        }
    }
}
