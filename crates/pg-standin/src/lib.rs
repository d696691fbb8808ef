//! A stand-in for a PostgreSQL server: protocol 3.0 by the `pgwire` crate, start and extended queries, TLS;
//! the tables lie in an SQLite file, one SQLite connection for each client. Owns the faults that a test asks
//! for: slow, silent, refusing, killed, read-only, errors by SQLSTATE, and a connection lost on either side of
//! a commit. It reads SQLite's words, so that it proves nothing about PostgreSQL's own parser; and it must
//! never be used for anything but tests.
#![forbid(unsafe_code)]

use std::collections::BTreeSet;
use std::fmt::Debug;
use std::io;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use async_trait::async_trait;
use futures_util::stream;
use pgwire::api::auth::StartupHandler;
use pgwire::api::auth::noop::NoopStartupHandler;
use pgwire::api::portal::{Format, Portal};
use pgwire::api::query::{ExtendedQueryHandler, SimpleQueryHandler};
use pgwire::api::results::{
    DataRowEncoder, DescribePortalResponse, DescribeStatementResponse, FieldInfo, QueryResponse, Response,
    Tag,
};
use pgwire::api::stmt::{NoopQueryParser, StoredStatement};
use pgwire::api::{ClientInfo, PgWireServerHandlers, Type};
use pgwire::error::{ErrorInfo, PgWireError, PgWireResult};
use rusqlite::types::{Value, ValueRef};
use tokio::sync::watch;
use tokio_rustls::TlsAcceptor;

/// Different statements that are remembered.
const MOST_HEARD: usize = 1000;

/// Whether, and how, the server is there.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Mode {
    /// It serves.
    #[default]
    Up,
    /// Nobody listens; connections that were open are reset.
    Refusing,
    /// It takes connections and questions, and says nothing.
    Silent,
}

/// What befalls a statement.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Act {
    /// An error with this SQLSTATE, in place of carrying it out.
    Error(&'static str),
    /// The connection ends before it is carried out.
    CloseBefore,
    /// It is carried out, and the connection ends with no answer.
    CloseAfter,
}

/// A fault on the script: the next so many statements that contain a text, with a parameter that contains one.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Rule {
    /// What the statement contains.
    pub statement: String,
    /// What a parameter contains; any will do where this is empty.
    pub value: String,
    /// Left to befall.
    pub times: u32,
    /// What befalls them.
    pub act: Act,
}

#[derive(Debug, Default)]
struct Script {
    delay: Duration,
    read_only: bool,
    rules: Vec<Rule>,
    statements: u64,
    heard: BTreeSet<String>,
}

/// The server; it ends with this.
pub struct Server {
    address: SocketAddr,
    script: Arc<Mutex<Script>>,
    mode: watch::Sender<(Mode, u64)>,
}

/// Files of the server's certificate and key, in PEM form, and of those who may sign a client's.
#[derive(Clone, Debug)]
pub struct TlsFiles {
    /// Its certificate.
    pub certificate: PathBuf,
    /// Its key.
    pub key: PathBuf,
    /// Where set, clients must show a certificate that one of these signed.
    pub clients: Option<PathBuf>,
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl Server {
    /// Starts on a port of the system's choice, on a thread of its own, over tables in `file`.
    ///
    /// # Errors
    /// Where no socket or thread is to be had, or a TLS file cannot be used.
    pub fn start(file: &Path, tls: Option<TlsFiles>) -> io::Result<Self> {
        let tls = tls.map(|files| acceptor(&files)).transpose()?;
        let listener = std::net::TcpListener::bind("127.0.0.1:0")?;
        listener.set_nonblocking(true)?;
        let address = listener.local_addr()?;
        let script = Arc::new(Mutex::new(Script::default()));
        let (mode, watched) = watch::channel((Mode::Up, 0));
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
        let (file, shared) = (file.to_path_buf(), script.clone());
        std::thread::Builder::new().name("pg-standin".into()).spawn(move || {
            runtime.block_on(serve(listener, address, file, tls, shared, watched));
        })?;
        Ok(Server { address, script, mode })
    }

    /// Where it listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// A connection text for it.
    pub fn url(&self) -> String {
        format!("postgres://relay@{}/relay", self.address)
    }

    /// Sets the mode; a change ends all connections.
    pub fn set(&self, mode: Mode) {
        self.mode.send_modify(|(now, generation)| (*now, *generation) = (mode, *generation + 1));
    }

    /// Every statement takes so long from now on.
    pub fn slow(&self, delay: Duration) {
        lock(&self.script).delay = delay;
    }

    /// From now on it takes no writes, or takes them again.
    pub fn read_only(&self, read_only: bool) {
        lock(&self.script).read_only = read_only;
    }

    /// Adds a fault that befalls statements by their text.
    pub fn fault(&self, statement: &str, times: u32, act: Act) {
        self.fault_on(statement, "", times, act);
    }

    /// Adds a fault that befalls statements by their text and a parameter.
    pub fn fault_on(&self, statement: &str, value: &str, times: u32, act: Act) {
        let (statement, value) = (statement.to_string(), value.to_string());
        lock(&self.script).rules.push(Rule { statement, value, times, act });
    }

    /// Takes all faults back.
    pub fn forgive(&self) {
        lock(&self.script).rules.clear();
    }

    /// Faults that have not befallen anything yet.
    pub fn faults_left(&self) -> u32 {
        lock(&self.script).rules.iter().map(|rule| rule.times).sum()
    }

    /// Statements that came so far.
    pub fn statements(&self) -> u64 {
        lock(&self.script).statements
    }

    /// The different statements that came so far; so many at the most.
    pub fn heard(&self) -> Vec<String> {
        lock(&self.script).heard.iter().cloned().collect()
    }
}

fn acceptor(files: &TlsFiles) -> io::Result<TlsAcceptor> {
    use tokio_rustls::rustls::pki_types::pem::PemObject;
    use tokio_rustls::rustls::pki_types::{CertificateDer, PrivateKeyDer};
    use tokio_rustls::rustls::server::WebPkiClientVerifier;
    use tokio_rustls::rustls::{RootCertStore, ServerConfig, crypto::ring::default_provider};
    let wrong = |error: &dyn std::fmt::Display| io::Error::other(error.to_string());
    let certificates = |file: &Path| -> io::Result<Vec<CertificateDer<'static>>> {
        let read = CertificateDer::pem_file_iter(file).map_err(|error| wrong(&error))?;
        read.collect::<Result<_, _>>().map_err(|error| wrong(&error))
    };
    let provider = Arc::new(default_provider());
    let builder = ServerConfig::builder_with_provider(provider.clone())
        .with_safe_default_protocol_versions()
        .map_err(|error| wrong(&error))?;
    let builder = match &files.clients {
        None => builder.with_no_client_auth(),
        Some(file) => {
            let mut roots = RootCertStore::empty();
            roots.add_parsable_certificates(certificates(file)?);
            let verifier = WebPkiClientVerifier::builder_with_provider(Arc::new(roots), provider).build();
            builder.with_client_cert_verifier(verifier.map_err(|error| wrong(&error))?)
        }
    };
    let key = PrivateKeyDer::from_pem_file(&files.key).map_err(|error| wrong(&error))?;
    let mut config =
        builder.with_single_cert(certificates(&files.certificate)?, key).map_err(|error| wrong(&error))?;
    config.alpn_protocols = vec![b"postgresql".to_vec()];
    Ok(TlsAcceptor::from(Arc::new(config)))
}

async fn serve(
    listener: std::net::TcpListener, address: SocketAddr, file: PathBuf, tls: Option<TlsAcceptor>,
    script: Arc<Mutex<Script>>, mut mode: watch::Receiver<(Mode, u64)>,
) {
    let Ok(mut listener) = tokio::net::TcpListener::from_std(listener) else { return };
    loop {
        let (now, generation) = *mode.borrow_and_update();
        if now == Mode::Refusing {
            drop(listener);
            if mode.changed().await.is_err() {
                return;
            }
            loop {
                match tokio::net::TcpListener::bind(address).await {
                    Ok(bound) => {
                        listener = bound;
                        break;
                    }
                    Err(_) => tokio::time::sleep(Duration::from_millis(5)).await,
                }
            }
            continue;
        }
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            changed = mode.changed() => match changed {
                Ok(()) => continue,
                Err(_) => return,
            },
        };
        let Ok((stream, _)) = accepted else { continue };
        let _ = stream.set_nodelay(true);
        // What is reset leaves no state behind that would keep the port.
        #[allow(deprecated)]
        let _ = stream.set_linger(Some(Duration::ZERO));
        let (mut watched, tls, script, file) = (mode.clone(), tls.clone(), script.clone(), file.clone());
        tokio::spawn(async move {
            let over = async {
                while watched.borrow_and_update().1 == generation && watched.changed().await.is_ok() {}
            };
            if now == Mode::Silent {
                over.await;
                return drop(stream);
            }
            let Ok(tables) = open(&file) else { return };
            let (close, mut closed) = watch::channel(false);
            let session = Arc::new(Session {
                tables: Mutex::new(tables),
                state: Mutex::default(),
                script,
                close,
                parser: Arc::new(NoopQueryParser::new()),
            });
            let handlers = Arc::new(Handlers(session));
            tokio::select! {
                _ = pgwire::tokio::process_socket(stream, tls, handlers) => {}
                _ = closed.wait_for(|closed| *closed) => {}
                () = over => {}
            }
        });
    }
}

fn open(file: &Path) -> rusqlite::Result<rusqlite::Connection> {
    let tables = rusqlite::Connection::open(file)?;
    // A lock is waited for without holding up the other sessions of this thread; see `Session::carry_out`.
    tables.execute_batch("PRAGMA journal_mode = WAL; PRAGMA synchronous = OFF; PRAGMA busy_timeout = 0;")?;
    Ok(tables)
}

#[derive(Debug, Default)]
struct State {
    in_transaction: bool,
    failed: bool,
}

/// One client's session.
struct Session {
    tables: Mutex<rusqlite::Connection>,
    state: Mutex<State>,
    script: Arc<Mutex<Script>>,
    close: watch::Sender<bool>,
    parser: Arc<NoopQueryParser>,
}

struct Handlers(Arc<Session>);

impl PgWireServerHandlers for Handlers {
    fn simple_query_handler(&self) -> Arc<impl SimpleQueryHandler> {
        self.0.clone()
    }

    fn extended_query_handler(&self) -> Arc<impl ExtendedQueryHandler> {
        self.0.clone()
    }

    fn startup_handler(&self) -> Arc<impl StartupHandler> {
        self.0.clone()
    }
}

#[async_trait]
impl NoopStartupHandler for Session {}

/// SQLite's words for PostgreSQL's.
fn translate(sql: &str) -> String {
    sql.replace(
        "FROM pg_catalog.pg_tables WHERE schemaname = CURRENT_SCHEMA AND tablename",
        "FROM sqlite_master WHERE type = 'table' AND name",
    )
    .replace("CAST(tablename AS TEXT)", "name")
    .replace('$', "?")
}

fn error(state: &str, why: impl Into<String>) -> PgWireError {
    PgWireError::UserError(Box::new(ErrorInfo::new("ERROR".into(), state.into(), why.into())))
}

/// What SQLite says, as PostgreSQL would.
fn refused(problem: &rusqlite::Error) -> PgWireError {
    use rusqlite::ErrorCode::{ConstraintViolation, DatabaseBusy, DatabaseLocked, DiskFull, ReadOnly};
    let text = problem.to_string();
    let state = match problem.sqlite_error_code() {
        Some(DatabaseBusy | DatabaseLocked) => "40001",
        Some(ReadOnly) => "25006",
        Some(DiskFull) => "53100",
        Some(ConstraintViolation) if text.contains("CHECK") => "23514",
        Some(ConstraintViolation) if text.contains("NOT NULL") => "23502",
        Some(ConstraintViolation) => "23505",
        _ if text.contains("already exists") => "42P07",
        _ if text.contains("no such table") => "42P01",
        _ => "42601",
    };
    error(state, text)
}

fn busy(problem: &rusqlite::Error) -> bool {
    let code = problem.sqlite_error_code();
    matches!(code, Some(rusqlite::ErrorCode::DatabaseBusy | rusqlite::ErrorCode::DatabaseLocked))
}

fn kind(column: &rusqlite::Column<'_>) -> Type {
    match column.decl_type().map(str::to_uppercase).as_deref() {
        Some("BIGINT" | "INTEGER") => Type::INT8,
        Some("INT4") => Type::INT4,
        Some(text) if text.starts_with("VARCHAR") => Type::VARCHAR,
        None if column.name().starts_with("CAST(") && column.name().ends_with("AS BIGINT)") => Type::INT8,
        _ => Type::TEXT,
    }
}

fn described(tables: &rusqlite::Connection, sql: &str, format: &Format) -> PgWireResult<Vec<FieldInfo>> {
    let statement = tables.prepare_cached(&translate(sql)).map_err(|problem| refused(&problem))?;
    let field = |(i, column): (usize, &rusqlite::Column<'_>)| {
        FieldInfo::new(column.name().into(), None, None, kind(column), format.format_for(i))
    };
    Ok(statement.columns().iter().enumerate().map(field).collect())
}

enum Done {
    Rows(Vec<Vec<Value>>),
    Changed(usize),
}

impl Session {
    /// Carries out one statement, in turn with the faults on the script.
    async fn carry_out(&self, sql: &str, values: &[Value]) -> PgWireResult<Done> {
        let (delay, act) = self.befalls(sql, values);
        if !delay.is_zero() {
            tokio::time::sleep(delay).await;
        }
        match act {
            Some(Act::Error(state)) => {
                self.after(sql, false);
                return Err(error(state, "by the script"));
            }
            Some(Act::CloseBefore) => return self.lose().await,
            _ => {}
        }
        let word = sql.trim_start().get(..5).unwrap_or(sql.trim()).to_uppercase();
        if lock(&self.state).failed && !matches!(word.as_str(), "ROLLB" | "COMMI") {
            return Err(error("25P02", "current transaction is aborted"));
        }
        let writes = matches!(word.as_str(), "INSER" | "UPDAT" | "DELET" | "CREAT" | "ALTER" | "DROP ");
        if writes && lock(&self.script).read_only {
            self.after(sql, false);
            return Err(error("25006", "cannot execute in a read-only transaction"));
        }
        let mut waits = 0;
        let result = loop {
            match self.run(sql, &word, values) {
                // Some 20 s at the most, as a lock would be waited for.
                Err(problem) if busy(&problem) && waits < 10_000 => {
                    waits += 1;
                    tokio::time::sleep(Duration::from_millis(2)).await;
                }
                other => break other,
            }
        };
        self.after(sql, result.is_ok());
        if act == Some(Act::CloseAfter) {
            return self.lose().await;
        }
        result.map_err(|problem| refused(&problem))
    }

    fn befalls(&self, sql: &str, values: &[Value]) -> (Duration, Option<Act>) {
        let mut script = lock(&self.script);
        script.statements += 1;
        if script.heard.len() < MOST_HEARD && !script.heard.contains(sql) {
            script.heard.insert(sql.to_string());
        }
        let delay = script.delay;
        let has = |text: &str| {
            text.is_empty() || values.iter().any(|value| matches!(value, Value::Text(t) if t.contains(text)))
        };
        let meant = |rule: &&mut Rule| rule.times > 0 && sql.contains(&rule.statement) && has(&rule.value);
        let rule = script.rules.iter_mut().find(meant);
        let act = rule.map(|rule| {
            rule.times -= 1;
            rule.act.clone()
        });
        (delay, act)
    }

    /// Ends the connection: the task that serves it is dropped here.
    async fn lose<T>(&self) -> PgWireResult<T> {
        let _ = self.close.send(true);
        std::future::pending().await
    }

    fn after(&self, sql: &str, well: bool) {
        let mut state = lock(&self.state);
        match sql.trim_start().get(..5).unwrap_or(sql.trim()).to_uppercase().as_str() {
            "BEGIN" | "START" if well => *state = State { in_transaction: true, failed: false },
            "COMMI" | "ROLLB" => *state = State::default(),
            _ if !well && state.in_transaction => state.failed = true,
            _ => {}
        }
    }

    fn run(&self, sql: &str, word: &str, values: &[Value]) -> rusqlite::Result<Done> {
        let tables = lock(&self.tables);
        match word {
            "BEGIN" | "START" => tables.execute_batch("BEGIN IMMEDIATE").map(|()| Done::Changed(0)),
            // A transaction that failed is taken back, whatever was asked for.
            "COMMI" if lock(&self.state).failed => {
                tables.execute_batch("ROLLBACK").map(|()| Done::Changed(0))
            }
            "COMMI" | "ROLLB" if tables.is_autocommit() => Ok(Done::Changed(0)),
            "SELEC" => {
                let mut statement = tables.prepare_cached(&translate(sql))?;
                let columns = statement.column_count();
                let rows = statement.query_map(rusqlite::params_from_iter(values), |row| {
                    (0..columns).map(|i| row.get_ref(i).map(|value: ValueRef<'_>| value.into())).collect()
                })?;
                rows.collect::<Result<_, _>>().map(Done::Rows)
            }
            _ if values.is_empty() => {
                tables.execute_batch(&translate(sql))?;
                Ok(Done::Changed(usize::try_from(tables.changes()).unwrap_or(0)))
            }
            _ => {
                let mut statement = tables.prepare_cached(&translate(sql))?;
                statement.execute(rusqlite::params_from_iter(values)).map(Done::Changed)
            }
        }
    }

    fn respond(&self, sql: &str, done: Done, format: &Format) -> PgWireResult<Response> {
        let rows = match done {
            Done::Changed(n) => {
                let word = sql.split_whitespace().next().unwrap_or("OK").trim_end_matches(';').to_uppercase();
                let tag = if word == "INSERT" { Tag::new("INSERT").with_oid(0) } else { Tag::new(&word) };
                return Ok(Response::Execution(tag.with_rows(n)));
            }
            Done::Rows(rows) => rows,
        };
        let header = Arc::new(described(&lock(&self.tables), sql, format)?);
        let mut encoder = DataRowEncoder::new(header.clone());
        let mut encoded = Vec::with_capacity(rows.len());
        for row in rows {
            for (value, field) in row.iter().zip(header.iter()) {
                match (value, field.datatype()) {
                    (Value::Integer(n), &Type::INT8) => encoder.encode_field(&Some(*n))?,
                    (Value::Integer(n), &Type::INT4) => encoder.encode_field(&i32::try_from(*n).ok())?,
                    (Value::Integer(n), _) => encoder.encode_field(&Some(n.to_string()))?,
                    (Value::Text(text), _) => encoder.encode_field(&Some(text.as_str()))?,
                    (Value::Real(n), _) => encoder.encode_field(&Some(n.to_string()))?,
                    (Value::Null, &Type::INT8) => encoder.encode_field(&None::<i64>)?,
                    (Value::Null, &Type::INT4) => encoder.encode_field(&None::<i32>)?,
                    (Value::Null | Value::Blob(_), _) => encoder.encode_field(&None::<&str>)?,
                }
            }
            encoded.push(Ok(encoder.take_row()));
        }
        Ok(Response::Query(QueryResponse::new(header, stream::iter(encoded))))
    }
}

#[async_trait]
impl SimpleQueryHandler for Session {
    async fn do_query<C>(&self, _client: &mut C, query: &str) -> PgWireResult<Vec<Response>>
    where
        C: ClientInfo + Unpin + Send + Sync,
    {
        let done = self.carry_out(query, &[]).await?;
        Ok(vec![self.respond(query, done, &Format::UnifiedText)?])
    }
}

fn values(portal: &Portal<String>) -> PgWireResult<Vec<Value>> {
    let value = |i: usize| {
        let kind = portal.statement.parameter_types.get(i).cloned().flatten().unwrap_or(Type::TEXT);
        Ok(match kind {
            Type::INT8 => portal.parameter::<i64>(i, &kind)?.map_or(Value::Null, Value::Integer),
            Type::INT4 => {
                portal.parameter::<i32>(i, &kind)?.map_or(Value::Null, |n| Value::Integer(i64::from(n)))
            }
            _ => {
                let text = portal.parameter::<String>(i, &kind)?;
                // A text with a zero byte is none to PostgreSQL.
                if text.as_ref().is_some_and(|text| text.contains('\0')) {
                    return Err(error("22021", "invalid byte sequence for encoding \"UTF8\": 0x00"));
                }
                text.map_or(Value::Null, Value::Text)
            }
        })
    };
    (0..portal.parameter_len()).map(value).collect()
}

#[async_trait]
impl ExtendedQueryHandler for Session {
    type Statement = String;
    type QueryParser = NoopQueryParser;

    fn query_parser(&self) -> Arc<Self::QueryParser> {
        self.parser.clone()
    }

    async fn do_query<C>(
        &self, _client: &mut C, portal: &Portal<Self::Statement>, _max_rows: usize,
    ) -> PgWireResult<Response>
    where
        C: ClientInfo + Unpin + Send + Sync,
    {
        let sql = &portal.statement.statement;
        let values = values(portal).inspect_err(|_| self.after(sql, false))?;
        let done = self.carry_out(sql, &values).await?;
        self.respond(sql, done, &portal.result_column_format)
    }

    async fn do_describe_statement<C>(
        &self, _client: &mut C, statement: &StoredStatement<Self::Statement>,
    ) -> PgWireResult<DescribeStatementResponse>
    where
        C: ClientInfo + Unpin + Send + Sync,
    {
        let kinds = statement.parameter_types.iter().map(|kind| kind.clone().unwrap_or(Type::TEXT)).collect();
        let fields = described(&lock(&self.tables), &statement.statement, &Format::UnifiedBinary);
        let fields = fields.inspect_err(|_| self.after("", false))?;
        Ok(DescribeStatementResponse::new(kinds, fields))
    }

    async fn do_describe_portal<C>(
        &self, _client: &mut C, portal: &Portal<Self::Statement>,
    ) -> PgWireResult<DescribePortalResponse>
    where
        C: ClientInfo + Unpin + Send + Sync,
    {
        let sql = &portal.statement.statement;
        described(&lock(&self.tables), sql, &portal.result_column_format).map(DescribePortalResponse::new)
    }
}

impl Debug for Server {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "pg-standin at {}", self.address)
    }
}
