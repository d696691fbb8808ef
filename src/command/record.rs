//! The `record` subcommands: querying and checking the record, reconciling it with a partner's statement, and repairing it when
//! it is full or damaged. Only reconcile with --settle, prune, migrate, quarantine with --replay and set-aside change anything.

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

/// Exit status if the command succeeded and found something that needs attention.
const EXIT_FOUND: u8 = 3;
/// Timeout of a query.
const QUERY_TIMEOUT: Duration = Duration::from_secs(60);
/// Rows read at once.
const PAGE_ROWS: usize = 1000;

/// Location of the record.
#[derive(Args)]
pub struct RecordLocation {
    /// Configuration file of the relay to which the record belongs
    #[arg(long, value_name = "FILE", conflicts_with_all = ["sqlite", "url"])]
    config: Option<PathBuf>,
    /// SQLite file of the record
    #[arg(long, value_name = "FILE")]
    sqlite: Option<PathBuf>,
    /// PostgreSQL server, such as postgres://user@host/name; the password can be set in TULIPFALL_POSTGRES_PASSWORD
    #[arg(
        long,
        value_name = "URL",
        env = "TULIPFALL_POSTGRES",
        hide_env_values = true,
        conflicts_with = "sqlite"
    )]
    url: Option<String>,
}

/// Selects messages.
#[derive(Args)]
pub struct MessageFilter {
    /// Only this class
    #[arg(long)]
    class: Option<String>,
    /// Only this tenant
    #[arg(long)]
    tenant: Option<String>,
    /// Only the destination with this number
    #[arg(long, value_name = "NUMBER", allow_negative_numbers = true)]
    destination: Option<i64>,
    /// Only this outcome
    #[arg(long, value_parser = ["delivered", "refused", "failed", "withdrawn"])]
    outcome: Option<String>,
    /// Only this effect at the partner
    #[arg(long, value_parser = ["took", "never", "in_doubt"])]
    effect: Option<String>,
    /// Only messages recorded first by this relay
    #[arg(long)]
    relay: Option<String>,
    /// Ended at or after this time: 2026-12-01, 2026-12-01T06:30:00Z, or Unix microseconds
    #[arg(long, value_name = "TIME", value_parser = parse_time)]
    since: Option<Micros>,
    /// Ended before this time
    #[arg(long, value_name = "TIME", value_parser = parse_time)]
    until: Option<Micros>,
}

/// Output format of rows.
#[derive(Clone, Copy, PartialEq, Eq, ValueEnum)]
pub enum Format {
    /// A human-readable table
    Table,
    /// CSV with a header; times in Unix microseconds
    Csv,
    /// One JSON object per line; times in Unix microseconds
    Json,
}

/// The `record` subcommands.
#[derive(Subcommand)]
pub enum RecordCommand {
    /// Lists messages in the order in which they ended, one page at a time
    #[command(after_help = "Was anything charged to destination 7 on that day whose effect is unknown?\n  \
tulipfall record query --config desk.toml --class paid-extra --destination 7 --effect in_doubt \\\n    \
--since 2026-12-01 --until 2026-12-02")]
    Query {
        #[command(flatten)]
        location: RecordLocation,
        #[command(flatten)]
        filter_args: MessageFilter,
        /// Rows per page
        #[arg(long, default_value_t = 50, value_name = "ROWS")]
        limit: usize,
        /// Continue after this position, which the previous page printed
        #[arg(long, value_name = "PLACE", value_parser = parse_position)]
        after: Option<(Micros, String)>,
        /// Show only counts, by outcome and effect
        #[arg(long)]
        count: bool,
        /// Output format
        #[arg(long, default_value = "table")]
        format: Format,
    },
    /// Shows one message in full: its outcome, its attempts, and evidence received later
    Show {
        #[command(flatten)]
        location: RecordLocation,
        /// Id of the message
        id: String,
        /// Print one JSON object
        #[arg(long)]
        json: bool,
    },
    /// Checks every invariant, and the integrity of an SQLite file; exit status 3 if an invariant is violated
    Verify {
        #[command(flatten)]
        location: RecordLocation,
        /// Maximum number of messages listed for each invariant
        #[arg(long, default_value_t = 20)]
        most: usize,
        /// Print one JSON object
        #[arg(long)]
        json: bool,
    },
    /// Reconciles the record with a partner's statement; exit status 3 if they differ
    #[command(
        after_help = "The statement is CSV with a header; its column \"message\" holds the ids. --since, \
--until and\n--destination select the part of the record that it covers. --settle writes the settled outcomes."
    )]
    Reconcile {
        #[command(flatten)]
        location: RecordLocation,
        #[command(flatten)]
        filter_args: MessageFilter,
        /// The partner's statement
        #[arg(long, value_name = "FILE.csv")]
        statement: PathBuf,
        /// Settle messages in doubt that the statement lists: they took effect
        #[arg(long)]
        settle: bool,
        /// The statement is complete: also settle messages in doubt that it does not list: they never ran
        #[arg(long, requires = "settle")]
        complete: bool,
        /// Print one JSON object
        #[arg(long)]
        json: bool,
    },
    /// Writes all selected messages to a file
    Export {
        #[command(flatten)]
        location: RecordLocation,
        #[command(flatten)]
        filter_args: MessageFilter,
        /// The file, which must not exist yet [default: standard output]
        #[arg(long, value_name = "FILE")]
        out: Option<PathBuf>,
        /// Output format
        #[arg(long, default_value = "json")]
        format: Format,
    },
    /// Removes messages that ended before a time, with their attempts; those in doubt stay
    Prune {
        #[command(flatten)]
        location: RecordLocation,
        /// Messages that ended before this time are removed
        #[arg(long, value_name = "TIME", value_parser = parse_time)]
        before: Micros,
    },
    /// Migrates the schema to the current version, as a relay does at its start
    Migrate {
        #[command(flatten)]
        location: RecordLocation,
    },
    /// Lists entries that the database refused, or retries them
    Quarantine {
        #[command(flatten)]
        location: RecordLocation,
        /// Retry the entries; those refused again stay in quarantine
        #[arg(long)]
        replay: bool,
    },
    /// Renames a damaged SQLite file, so that the relay creates a new one; nothing is deleted
    SetAside {
        #[command(flatten)]
        location: RecordLocation,
    },
}

/// Parses a time given as a date, as RFC 3339 or in Unix microseconds.
fn parse_time(text: &str) -> Result<Micros, String> {
    if let Ok(number) = text.parse::<Micros>() {
        return Ok(number);
    }
    let full = if text.len() == 10 { format!("{text}T00:00:00Z") } else { text.to_string() };
    let parsed = OffsetDateTime::parse(&full, &Rfc3339);
    let parsed = parsed.map_err(|_| "expected 2026-12-01, 2026-12-01T06:30:00Z, or Unix microseconds")?;
    Micros::try_from(parsed.unix_timestamp_nanos() / 1000).map_err(|error| error.to_string())
}

/// Formats a time in Unix microseconds as RFC 3339, in milliseconds.
fn format_time(at: Micros) -> String {
    let moment = OffsetDateTime::from_unix_timestamp_nanos(i128::from(at) * 1000);
    let millis = moment
        .ok()
        .and_then(|moment| moment.replace_nanosecond(moment.nanosecond() / 1_000_000 * 1_000_000).ok());
    millis.and_then(|moment| moment.format(&Rfc3339).ok()).unwrap_or_else(|| at.to_string())
}

/// Parses a position of the form TIME/ID.
fn parse_position(text: &str) -> Result<(Micros, String), String> {
    let (at, id) =
        text.split_once('/').ok_or("expected a position as printed by the previous page: TIME/ID")?;
    Ok((
        at.parse().map_err(|_| "expected a position as printed by the previous page: TIME/ID")?,
        id.to_string(),
    ))
}

impl MessageFilter {
    fn filter(self, after: Option<(Micros, String)>) -> Filter {
        let MessageFilter { class, tenant, destination, outcome, effect, relay, since, until } = self;
        Filter { class, tenant, destination, outcome, effect, relay, since, until, after }
    }
}

impl RecordLocation {
    fn target(self) -> Result<Target, Failure> {
        let environment = |variable: &str| std::env::var(variable).ok();
        if let Some(file) = self.config {
            let config = Config::load_file(&file, environment)?;
            let record =
                config.record.ok_or_else(|| format!("{}: store.kind: has no record", file.display()))?;
            // Only the relay enforces the size limit.
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

    /// Opens a connection for queries. It never creates a record.
    async fn connect(self) -> Result<Connection, Failure> {
        let target = self.target()?;
        if let Target::Sqlite { file, .. } = &target
            && !file.exists()
        {
            return Err(format!("{}: the record does not exist", file.display()).into());
        }
        let mut connection = Connection::open(&target, Instant::now() + QUERY_TIMEOUT).await?;
        connection.until(Instant::now() + QUERY_TIMEOUT);
        let (found, newest) = (connection.schema_version().await?, Connection::newest_version());
        match found {
            0 => {
                Err(format!("{target}: has no record yet; start a relay or run record migrate to create it")
                    .into())
            }
            found if found > newest => {
                let why = "this program supports up to version";
                Err(format!("{target}: has version {found} of the schema, {why} {newest}").into())
            }
            _ => Ok(connection),
        }
    }

    /// Opens an existing record for writing.
    async fn open(self) -> Result<Record, Failure> {
        let target = self.target()?;
        if let Target::Sqlite { file, .. } = &target
            && !file.exists()
        {
            return Err(format!("{}: the record does not exist", file.display()).into());
        }
        Ok(Record::open(&target, "operator").await?)
    }
}

/// Runs a subcommand. The exit status tells whether it found something that needs attention.
///
/// # Errors
/// If the subcommand failed.
pub fn run(command: RecordCommand) -> Result<ExitCode, Failure> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    match runtime.block_on(execute(command)) {
        // The reader closed the pipe, such as head(1), which is not a failure.
        Err(error) if error.downcast_ref::<std::io::Error>().is_some_and(is_broken_pipe) => {
            Ok(ExitCode::SUCCESS)
        }
        other => other,
    }
}

fn is_broken_pipe(error: &std::io::Error) -> bool {
    error.kind() == std::io::ErrorKind::BrokenPipe
}

fn exit_code(found: bool) -> ExitCode {
    if found { ExitCode::from(EXIT_FOUND) } else { ExitCode::SUCCESS }
}

async fn execute(command: RecordCommand) -> Result<ExitCode, Failure> {
    let mut out = BufWriter::new(std::io::stdout().lock());
    let found = match command {
        RecordCommand::Query { location, filter_args, limit, after, count, format } => {
            let mut connection = location.connect().await?;
            let filter = filter_args.filter(after);
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
        RecordCommand::Show { location, id, json } => {
            let mut connection = location.connect().await?;
            let Some(details) = query::show(&mut connection, &id).await? else {
                eprintln!("tulipfall: the record has no message {id:?}");
                return Ok(exit_code(true));
            };
            if json {
                writeln!(out, "{}", serde_json::to_string(&details)?)?;
            } else {
                write_details(&mut out, &details)?;
            }
            false
        }
        RecordCommand::Verify { location, most, json } => {
            let mut connection = location.connect().await?;
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
        RecordCommand::Reconcile { location, filter_args, statement, settle, complete, json } => {
            let name = statement.display().to_string();
            let read = std::fs::File::open(&statement).map_err(|error| format!("{name}: {error}"))?;
            let ids = query::statement(read).map_err(|error| format!("{name}: {error}"))?;
            let mut record = location.open().await?;
            let source = statement.file_name().unwrap_or_default().to_string_lossy().into_owned();
            let settled = (settle, complete);
            let filter = filter_args.filter(None);
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
        RecordCommand::Export { location, filter_args, out: file, format } => {
            let mut connection = location.connect().await?;
            let mut to: Box<dyn Write> = match &file {
                None => Box::new(&mut out),
                Some(file) => {
                    let made = std::fs::File::create_new(file);
                    Box::new(BufWriter::new(made.map_err(|error| format!("{}: {error}", file.display()))?))
                }
            };
            let (mut filter, mut n, mut first) = (filter_args.filter(None), 0, true);
            let progress = std::io::stderr().is_terminal() && file.is_some();
            loop {
                connection.until(Instant::now() + QUERY_TIMEOUT);
                let messages = filter.page(&mut connection, PAGE_ROWS).await?;
                let Some(last) = messages.last() else { break };
                filter.after = Some((last.ended_at, last.id.clone()));
                write_rows(&mut to, &messages, format, first)?;
                (n, first) = (n + messages.len(), false);
                if progress {
                    eprint!("\r{n} messages, up to {}", format_time(last.ended_at));
                }
            }
            to.flush()?;
            if progress {
                eprintln!();
            }
            false
        }
        RecordCommand::Prune { location, before } => {
            let mut record = location.open().await?;
            let gone = record.prune(before).await?;
            writeln!(out, "{gone} messages that ended before {} are removed", format_time(before))?;
            false
        }
        RecordCommand::Migrate { location } => {
            let target = location.target()?;
            let mut connection = Connection::open(&target, Instant::now() + QUERY_TIMEOUT).await?;
            connection.until(Instant::now() + QUERY_TIMEOUT);
            let before = connection.migrate().await?;
            writeln!(out, "{target}: version {before} before, {} now", Connection::newest_version())?;
            false
        }
        RecordCommand::Quarantine { location, replay: false } => {
            let rows = query::quarantine(&mut location.connect().await?).await?;
            for row in &rows {
                if let [relay, message, number, at, reason] = row.as_slice() {
                    let at = format_time(at.int().unwrap_or(0));
                    writeln!(out, "{at}  relay {relay}, entry {number}, message {message}: {reason}")?;
                }
            }
            !rows.is_empty()
        }
        RecordCommand::Quarantine { location, replay: true } => {
            let (done, refused) = location.open().await?.replay_set_aside().await?;
            writeln!(out, "{done} written, {refused} refused again")?;
            refused > 0
        }
        RecordCommand::SetAside { location } => {
            match location.target()? {
                Target::Sqlite { file, .. } => writeln!(out, "now {}", set_aside(&file)?.display())?,
                Target::Postgres(_) => return Err("only an SQLite file can be set aside".into()),
            }
            false
        }
    };
    out.flush()?;
    Ok(exit_code(found))
}

/// Renames a damaged file together with SQLite's -wal and -shm files. An intact file is not renamed.
fn set_aside(file: &Path) -> Result<PathBuf, Failure> {
    let details = rusqlite::Connection::open_with_flags(file, rusqlite::OpenFlags::SQLITE_OPEN_READ_WRITE)
        .and_then(|connection| {
            connection.query_row("PRAGMA quick_check(1)", [], |row| row.get::<_, String>(0))
        });
    if details.is_ok_and(|found| found == "ok") {
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
                    format_time(m.ended_at),
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

/// Writes one message in full.
fn write_details(out: &mut dyn Write, details: &query::Whole) -> Result<(), Failure> {
    let m = &details.message;
    writeln!(out, "{}: {}, {}", m.id, m.outcome, m.effect)?;
    writeln!(
        out,
        "  class {}, tenant {}, destination {}",
        m.class,
        m.tenant.as_deref().unwrap_or("-"),
        m.destination
    )?;
    writeln!(
        out,
        "  taken on {}, ended {}, by {}",
        format_time(m.taken_at),
        format_time(m.ended_at),
        m.relays
    )?;
    writeln!(out, "  body of {} bytes, SHA-256 {}", m.body_length, m.body_sha256)?;
    let evidence = [&m.evidence_text, &m.receipt_id, &m.receipt_mic, &m.receipt_disposition];
    let evidence: Vec<&str> = evidence.into_iter().filter_map(|text| text.as_deref()).collect();
    writeln!(out, "  evidence: {} {}", m.evidence, evidence.join(", "))?;
    for (what, rows, columns) in [
        ("attempts", &details.attempts, &query::ATTEMPT_COLUMNS[..]),
        ("came to light", &details.events, &query::EVENT_COLUMNS[..]),
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
                    value if column.ends_with("at") => format_time(value.as_i64().unwrap_or(0)),
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
