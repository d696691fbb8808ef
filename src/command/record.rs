//! The record on the command line: questions, checks, a partner's statement held against it, and what an
//! operator does when it is full, damaged or in doubt. Owns how answers are shown. Only what says so changes
//! anything.

use std::io::{BufWriter, IsTerminal, Write};
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::time::Duration;

use clap::{Args, Subcommand, ValueEnum};
use record::model::Micros;
use record::query::{self, Filter, Message};
use record::service::unix_now;
use record::sql::{Connection, Server, Target};
use record::store::Record;
use time::OffsetDateTime;
use time::format_description::well_known::Rfc3339;
use tokio::time::Instant;
use tulipfall::config::Config;

use super::Failure;

/// It was done, and something was found that wants a look.
const FOUND: u8 = 3;
/// A question may take so long.
const ASK_WITHIN: Duration = Duration::from_secs(60);
/// Rows read at once.
const PAGE: usize = 1000;

/// Where the record is.
#[derive(Args)]
pub struct Place {
    /// The operator's file of the relay whose record it is
    #[arg(long, value_name = "FILE", conflicts_with_all = ["sqlite", "url"])]
    config: Option<PathBuf>,
    /// An SQLite file
    #[arg(long, value_name = "FILE")]
    sqlite: Option<PathBuf>,
    /// A PostgreSQL server, such as postgres://user@host/name; TULIPFALL_POSTGRES_PASSWORD may hold the password
    #[arg(
        long,
        value_name = "URL",
        env = "TULIPFALL_POSTGRES",
        hide_env_values = true,
        conflicts_with = "sqlite"
    )]
    url: Option<String>,
}

/// Which messages are meant.
#[derive(Args)]
pub struct Which {
    /// Of this class
    #[arg(long)]
    class: Option<String>,
    /// Of this tenant
    #[arg(long)]
    tenant: Option<String>,
    /// For the destination of this number
    #[arg(long, value_name = "NUMBER", allow_negative_numbers = true)]
    destination: Option<i64>,
    /// How it ended
    #[arg(long, value_parser = ["delivered", "refused", "failed", "withdrawn"])]
    outcome: Option<String>,
    /// What is known of its effect at the partner
    #[arg(long, value_parser = ["took", "never", "in_doubt"])]
    effect: Option<String>,
    /// Recorded first by this relay
    #[arg(long)]
    relay: Option<String>,
    /// Ended then or later: 2026-12-01, 2026-12-01T06:30:00Z, or Unix microseconds
    #[arg(long, value_name = "TIME", value_parser = moment)]
    since: Option<Micros>,
    /// Ended before then
    #[arg(long, value_name = "TIME", value_parser = moment)]
    until: Option<Micros>,
}

/// How rows are shown.
#[derive(Clone, Copy, PartialEq, Eq, ValueEnum)]
pub enum Format {
    /// A table to read
    Table,
    /// CSV with a header; times in Unix microseconds
    Csv,
    /// A JSON object a line; times in Unix microseconds
    Json,
}

/// What is done with the record.
#[derive(Subcommand)]
pub enum RecordCommand {
    /// Lists messages in the order of their ends, a page at a time
    #[command(after_help = "Was anything charged to destination 7 on that day whose effect is unknown?\n  \
tulipfall record query --config desk.toml --class paid-extra --destination 7 --effect in_doubt \\\n    \
--since 2026-12-01 --until 2026-12-02")]
    Query {
        #[command(flatten)]
        place: Place,
        #[command(flatten)]
        which: Which,
        /// Rows on a page
        #[arg(long, default_value_t = 50, value_name = "ROWS")]
        limit: usize,
        /// The page after this place, as the page before told it
        #[arg(long, value_name = "PLACE", value_parser = place_after)]
        after: Option<(Micros, String)>,
        /// Only how many there are, by outcome and effect
        #[arg(long)]
        count: bool,
        /// How rows are shown
        #[arg(long, default_value = "table")]
        format: Format,
    },
    /// Shows one message whole: its end, its attempts, and what came to light after that
    Show {
        #[command(flatten)]
        place: Place,
        /// Its id
        id: String,
        /// As one JSON object
        #[arg(long)]
        json: bool,
    },
    /// Checks every invariant, and whether an SQLite file is whole; exit status 3 where one is broken
    Verify {
        #[command(flatten)]
        place: Place,
        /// Messages named for each invariant
        #[arg(long, default_value_t = 20)]
        most: usize,
        /// As one JSON object
        #[arg(long)]
        json: bool,
    },
    /// Holds a partner's statement against the record; exit status 3 where they differ
    #[command(
        after_help = "The statement is CSV with a header; its column \"message\" holds the ids. --since, \
--until and\n--destination say which part of the record it is about. --settle writes what it settles."
    )]
    Reconcile {
        #[command(flatten)]
        place: Place,
        #[command(flatten)]
        which: Which,
        /// The statement
        #[arg(long, value_name = "FILE.csv")]
        statement: PathBuf,
        /// Doubts about what the statement names are settled: it took effect
        #[arg(long)]
        settle: bool,
        /// The statement is complete: doubts about what it does not name are settled too, it never ran
        #[arg(long, requires = "settle")]
        complete: bool,
        /// As one JSON object
        #[arg(long)]
        json: bool,
    },
    /// Writes all messages that are meant to a file
    Export {
        #[command(flatten)]
        place: Place,
        #[command(flatten)]
        which: Which,
        /// The file, which must not be there; standard output without it
        #[arg(long, value_name = "FILE")]
        out: Option<PathBuf>,
        /// How rows are written
        #[arg(long, default_value = "json")]
        format: Format,
    },
    /// Removes messages that ended before a time, with their attempts; those in doubt stay
    Prune {
        #[command(flatten)]
        place: Place,
        /// The time
        #[arg(long, value_name = "TIME", value_parser = moment)]
        before: Micros,
    },
    /// Brings the schema up to date; a relay does so at its start
    Migrate {
        #[command(flatten)]
        place: Place,
    },
    /// Lists what the database refused, or tries to write it again
    Quarantine {
        #[command(flatten)]
        place: Place,
        /// Tries to write it again; what is refused again stays
        #[arg(long)]
        replay: bool,
    },
    /// Renames a damaged SQLite file, so that the relay begins a new one; nothing is deleted
    SetAside {
        #[command(flatten)]
        place: Place,
    },
}

/// A time as an operator writes it.
fn moment(text: &str) -> Result<Micros, String> {
    if let Ok(number) = text.parse::<Micros>() {
        return Ok(number);
    }
    let full = if text.len() == 10 { format!("{text}T00:00:00Z") } else { text.to_string() };
    let parsed = OffsetDateTime::parse(&full, &Rfc3339);
    let parsed = parsed.map_err(|_| "expected 2026-12-01, 2026-12-01T06:30:00Z, or Unix microseconds")?;
    Micros::try_from(parsed.unix_timestamp_nanos() / 1000).map_err(|error| error.to_string())
}

fn shown(at: Micros) -> String {
    let moment = OffsetDateTime::from_unix_timestamp_nanos(i128::from(at) * 1000);
    let millis = moment
        .ok()
        .and_then(|moment| moment.replace_nanosecond(moment.nanosecond() / 1_000_000 * 1_000_000).ok());
    millis.and_then(|moment| moment.format(&Rfc3339).ok()).unwrap_or_else(|| at.to_string())
}

fn place_after(text: &str) -> Result<(Micros, String), String> {
    let (at, id) = text.split_once('/').ok_or("expected a place as the page before told it: TIME/ID")?;
    Ok((at.parse().map_err(|_| "expected a place as the page before told it: TIME/ID")?, id.to_string()))
}

impl Which {
    fn filter(self, after: Option<(Micros, String)>) -> Filter {
        let Which { class, tenant, destination, outcome, effect, relay, since, until } = self;
        Filter { class, tenant, destination, outcome, effect, relay, since, until, after }
    }
}

impl Place {
    fn target(self) -> Result<Target, Failure> {
        let environment = |variable: &str| std::env::var(variable).ok();
        if let Some(file) = self.config {
            let config = Config::load_file(&file, environment)?;
            let record =
                config.record.ok_or_else(|| format!("{}: store.kind: has no record", file.display()))?;
            // The room is the relay's to keep.
            return Ok(match record.target {
                Target::Sqlite { file, .. } => Target::Sqlite { file, most_bytes: None },
                server => server,
            });
        }
        if let Some(file) = self.sqlite {
            return Ok(Target::Sqlite { file, most_bytes: None });
        }
        let url = self.url.ok_or("where is the record? --config FILE, --sqlite FILE or --url URL")?;
        let server = Server::parse(&url, environment("TULIPFALL_POSTGRES_PASSWORD"), None);
        Ok(Target::Postgres(Box::new(server.map_err(|why| format!("--url: {why}"))?)))
    }

    /// For questions: nothing is made that is not there.
    async fn ask(self) -> Result<Connection, Failure> {
        let target = self.target()?;
        if let Target::Sqlite { file, .. } = &target
            && !file.exists()
        {
            return Err(format!("{}: there is no record", file.display()).into());
        }
        let mut connection = Connection::open(&target, Instant::now() + ASK_WITHIN).await?;
        connection.until(Instant::now() + ASK_WITHIN);
        let (found, newest) = (connection.schema_version().await?, Connection::newest_version());
        match found {
            0 => Err(format!("{target}: holds no record yet; a relay, or record migrate, begins one").into()),
            found if found > newest => {
                let why = "this program knows version";
                Err(format!("{target}: has version {found} of the schema, {why} {newest}").into())
            }
            _ => Ok(connection),
        }
    }

    async fn open(self) -> Result<Record, Failure> {
        let target = self.target()?;
        if let Target::Sqlite { file, .. } = &target
            && !file.exists()
        {
            return Err(format!("{}: there is no record", file.display()).into());
        }
        Ok(Record::open(&target, "operator").await?)
    }
}

/// Carries a command out; tells what it found by the exit status.
///
/// # Errors
/// Where it could not be done.
pub fn carry_out(command: RecordCommand) -> Result<ExitCode, Failure> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    match runtime.block_on(act(command)) {
        // Who reads no further has seen enough.
        Err(error) if error.downcast_ref::<std::io::Error>().is_some_and(broken) => Ok(ExitCode::SUCCESS),
        other => other,
    }
}

fn broken(error: &std::io::Error) -> bool {
    error.kind() == std::io::ErrorKind::BrokenPipe
}

fn code(found: bool) -> ExitCode {
    if found { ExitCode::from(FOUND) } else { ExitCode::SUCCESS }
}

async fn act(command: RecordCommand) -> Result<ExitCode, Failure> {
    let mut out = BufWriter::new(std::io::stdout().lock());
    let found = match command {
        RecordCommand::Query { place, which, limit, after, count, format } => {
            let mut connection = place.ask().await?;
            let filter = which.filter(after);
            if count {
                let mut sum = 0;
                for (outcome, effect, n) in filter.count(&mut connection).await? {
                    writeln!(out, "{n:>10}  {outcome}, {effect}")?;
                    sum += n;
                }
                writeln!(out, "{sum:>10}  in all")?;
            } else {
                let messages = filter.page(&mut connection, limit).await?;
                write_rows(&mut out, &messages, format, true)?;
                out.flush()?;
                if let Some(last) = messages.last().filter(|_| messages.len() == limit) {
                    eprintln!("next page: --after {}/{}", last.ended_at, last.id);
                }
            }
            false
        }
        RecordCommand::Show { place, id, json } => {
            let mut connection = place.ask().await?;
            let Some(whole) = query::show(&mut connection, &id).await? else {
                eprintln!("tulipfall: the record has no message {id:?}");
                return Ok(code(true));
            };
            if json {
                writeln!(out, "{}", serde_json::to_string(&whole)?)?;
            } else {
                write_whole(&mut out, &whole)?;
            }
            false
        }
        RecordCommand::Verify { place, most, json } => {
            let mut connection = place.ask().await?;
            connection.check_whole().await?;
            let breaches = query::verify(&mut connection, most).await?;
            let aside = query::quarantine(&mut connection).await?.len();
            if json {
                let all = serde_json::json!({"broken": breaches, "set_aside": aside});
                writeln!(out, "{all}")?;
            } else {
                for invariant in &query::INVARIANTS {
                    let breach = breaches.iter().find(|breach| breach.invariant == invariant.name);
                    let word = if breach.is_some() { "BROKEN" } else { "holds" };
                    writeln!(out, "{word:<7} {}: {}", invariant.name, invariant.says)?;
                    for id in breach.iter().flat_map(|breach| &breach.messages) {
                        writeln!(out, "            {id}")?;
                    }
                }
                writeln!(out, "{aside} set aside")?;
            }
            !breaches.is_empty() || aside > 0
        }
        RecordCommand::Reconcile { place, which, statement, settle, complete, json } => {
            let name = statement.display().to_string();
            let read = std::fs::File::open(&statement).map_err(|error| format!("{name}: {error}"))?;
            let ids = query::statement(read).map_err(|error| format!("{name}: {error}"))?;
            let mut record = place.open().await?;
            let source = statement.file_name().unwrap_or_default().to_string_lossy().into_owned();
            let settled = (settle, complete);
            let filter = which.filter(None);
            let found = query::reconcile(&mut record, &filter, &ids, &source, unix_now(), settled).await?;
            if json {
                writeln!(out, "{}", serde_json::to_string(&found)?)?;
            } else {
                writeln!(out, "{} agreed", found.agreed)?;
                let settled =
                    if settle { "settled, it took effect" } else { "--settle would: it took effect" };
                for (what, ids) in [
                    ("missing there: the record has that it took effect", &found.missing_there),
                    ("missing here: the record does not know it", &found.missing_here),
                    ("contradicted: the record has that it never ran", &found.contradicted),
                    ("twice there", &found.twice_there),
                    (settled, &found.settled_took),
                    ("in doubt, and not on the statement", &found.in_doubt),
                ] {
                    writeln!(out, "{} {what}", ids.len())?;
                    ids.iter().try_for_each(|id| writeln!(out, "    {id}"))?;
                }
            }
            !found.clean() || (!settle && !found.settled_took.is_empty())
        }
        RecordCommand::Export { place, which, out: file, format } => {
            let mut connection = place.ask().await?;
            let mut to: Box<dyn Write> = match &file {
                None => Box::new(&mut out),
                Some(file) => {
                    let made = std::fs::File::create_new(file);
                    Box::new(BufWriter::new(made.map_err(|error| format!("{}: {error}", file.display()))?))
                }
            };
            let (mut filter, mut n, mut first) = (which.filter(None), 0, true);
            let progress = std::io::stderr().is_terminal() && file.is_some();
            loop {
                connection.until(Instant::now() + ASK_WITHIN);
                let messages = filter.page(&mut connection, PAGE).await?;
                let Some(last) = messages.last() else { break };
                filter.after = Some((last.ended_at, last.id.clone()));
                write_rows(&mut to, &messages, format, first)?;
                (n, first) = (n + messages.len(), false);
                if progress {
                    eprint!("\r{n} messages, up to {}", shown(last.ended_at));
                }
            }
            to.flush()?;
            if progress {
                eprintln!();
            }
            false
        }
        RecordCommand::Prune { place, before } => {
            let mut record = place.open().await?;
            let gone = record.prune(before).await?;
            writeln!(out, "{gone} messages that ended before {} are removed", shown(before))?;
            false
        }
        RecordCommand::Migrate { place } => {
            let target = place.target()?;
            let mut connection = Connection::open(&target, Instant::now() + ASK_WITHIN).await?;
            connection.until(Instant::now() + ASK_WITHIN);
            let before = connection.migrate().await?;
            writeln!(out, "{target}: version {before} before, {} now", Connection::newest_version())?;
            false
        }
        RecordCommand::Quarantine { place, replay: false } => {
            let rows = query::quarantine(&mut place.ask().await?).await?;
            for row in &rows {
                if let [relay, message, number, at, reason] = row.as_slice() {
                    let at = shown(at.int().unwrap_or(0));
                    writeln!(out, "{at}  relay {relay}, entry {number}, message {message}: {reason}")?;
                }
            }
            !rows.is_empty()
        }
        RecordCommand::Quarantine { place, replay: true } => {
            let (done, refused) = place.open().await?.replay_set_aside().await?;
            writeln!(out, "{done} written, {refused} refused again")?;
            refused > 0
        }
        RecordCommand::SetAside { place } => {
            match place.target()? {
                Target::Sqlite { file, .. } => writeln!(out, "now {}", set_aside(&file)?.display())?,
                Target::Postgres(_) => return Err("only an SQLite file can be set aside".into()),
            }
            false
        }
    };
    out.flush()?;
    Ok(code(found))
}

/// Renames a damaged file with what SQLite keeps beside it. One that can be read stays.
fn set_aside(file: &Path) -> Result<PathBuf, Failure> {
    let whole = rusqlite::Connection::open_with_flags(file, rusqlite::OpenFlags::SQLITE_OPEN_READ_WRITE)
        .and_then(|connection| {
            connection.query_row("PRAGMA quick_check(1)", [], |row| row.get::<_, String>(0))
        });
    if whole.is_ok_and(|found| found == "ok") {
        return Err(format!("{}: is not damaged", file.display()).into());
    }
    let beside = |suffix: &str| {
        let mut name = file.as_os_str().to_owned();
        name.push(suffix);
        PathBuf::from(name)
    };
    let to = beside(&format!(".damaged-{}", unix_now()));
    std::fs::rename(file, &to).map_err(|error| format!("{}: {error}", file.display()))?;
    for suffix in ["-wal", "-shm"] {
        if beside(suffix).exists() {
            let mut name = to.as_os_str().to_owned();
            name.push(suffix);
            std::fs::rename(beside(suffix), PathBuf::from(name))?;
        }
    }
    Ok(to)
}

fn write_rows(
    out: &mut dyn Write, messages: &[Message], format: Format, header: bool,
) -> Result<(), Failure> {
    match format {
        Format::Json => {
            for message in messages {
                writeln!(out, "{}", serde_json::to_string(message)?)?;
            }
        }
        Format::Csv => {
            let mut writer = csv::WriterBuilder::new().has_headers(header).from_writer(out);
            messages.iter().try_for_each(|message| writer.serialize(message))?;
            writer.flush()?;
        }
        Format::Table => {
            let mut table = comfy_table::Table::new();
            table.load_preset(comfy_table::presets::NOTHING);
            if header {
                table.set_header([
                    "ended", "id", "class", "tenant", "dest", "outcome", "effect", "tries", "endpoint",
                    "evidence",
                ]);
            }
            for m in messages {
                let evidence = m.evidence_text.clone().or(m.receipt_disposition.clone());
                table.add_row([
                    shown(m.ended_at),
                    m.id.clone(),
                    m.class.clone(),
                    m.tenant.clone().unwrap_or_default(),
                    m.destination.to_string(),
                    m.outcome.clone(),
                    m.effect.clone(),
                    m.attempts.to_string(),
                    m.endpoint.clone().unwrap_or_default(),
                    evidence.unwrap_or_else(|| m.evidence.clone()),
                ]);
            }
            writeln!(out, "{table}")?;
        }
    }
    Ok(())
}

fn write_whole(out: &mut dyn Write, whole: &query::Whole) -> Result<(), Failure> {
    let m = &whole.message;
    writeln!(out, "{}: {}, {}", m.id, m.outcome, m.effect)?;
    writeln!(
        out,
        "  class {}, tenant {}, destination {}",
        m.class,
        m.tenant.as_deref().unwrap_or("-"),
        m.destination
    )?;
    writeln!(out, "  taken on {}, ended {}, by {}", shown(m.taken_at), shown(m.ended_at), m.relays)?;
    writeln!(out, "  body of {} bytes, SHA-256 {}", m.body_length, m.body_sha256)?;
    let evidence = [&m.evidence_text, &m.receipt_id, &m.receipt_mic, &m.receipt_disposition];
    let evidence: Vec<&str> = evidence.into_iter().filter_map(|text| text.as_deref()).collect();
    writeln!(out, "  evidence: {} {}", m.evidence, evidence.join(", "))?;
    for (what, rows, columns) in [
        ("attempts", &whole.attempts, &query::ATTEMPT_COLUMNS[..]),
        ("came to light", &whole.events, &query::EVENT_COLUMNS[..]),
    ] {
        if rows.is_empty() {
            continue;
        }
        writeln!(out, "  {what}:")?;
        for row in rows {
            let cell = |column: &&str| {
                let value = row.get(*column)?;
                let text = match value {
                    serde_json::Value::Null => return None,
                    value if column.ends_with("at") => shown(value.as_i64().unwrap_or(0)),
                    serde_json::Value::String(text) => text.clone(),
                    value => value.to_string(),
                };
                Some(format!("{column} {text}"))
            };
            let cells: Vec<String> = columns.iter().filter_map(cell).collect();
            writeln!(out, "    {}", cells.join(", "))?;
        }
    }
    Ok(())
}
