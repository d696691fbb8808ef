//! The table `as2`: the AS2 front, its identity and its partners.

use std::collections::BTreeSet;
use std::path::Path;
use std::sync::Arc;

use openssl::pkey::{PKey, Private};
use openssl::x509::X509;

use crate::as2::{Identity, Partner, Submissions};
use crate::config::As2Config;
use crate::config::error::ConfigError;
use crate::interface::{Micros, Settings};
use crate::wire::Names;

use super::Table;
use super::table::DAY;

/// Default time for which receipts are remembered, in days.
const DEFAULT_REMEMBER_DAYS: f64 = 30.0;
/// Minimum time for which receipts are remembered, in days.
const MIN_REMEMBER_DAYS: f64 = 0.01;

/// The rest of the file, to which the table refers.
pub(super) struct Context<'a> {
    /// Folder at which relative paths start.
    pub(super) folder: &'a Path,
    /// Settings of the decision module.
    pub(super) settings: &'a Settings,
    /// The names in these settings.
    pub(super) names: &'a Names,
    /// Numbers of the destinations.
    pub(super) cells: BTreeSet<i64>,
}

impl Context<'_> {
    /// The content of the file that a key names.
    fn file(&self, table: &Table, key: &'static str) -> Result<Vec<u8>, ConfigError> {
        let path = self.folder.join(table.text(key)?);
        std::fs::read(&path).map_err(|error| table.unreadable(key, &path, error))
    }

    /// The certificate that the key `certificate` names.
    fn certificate(&self, table: &Table) -> Result<X509, ConfigError> {
        X509::from_pem(&self.file(table, "certificate")?)
            .map_err(|_| table.bad("certificate", "is no certificate in PEM form"))
    }

    /// The private key that the key `key` names.
    fn private_key(&self, table: &Table) -> Result<PKey<Private>, ConfigError> {
        PKey::private_key_from_pem(&self.file(table, "key")?)
            .map_err(|_| table.bad("key", "is no private key in PEM form"))
    }

    /// The number of a destination, which must be one of the file's: messages would wait forever for any other.
    fn destination(&self, table: &Table) -> Result<i64, ConfigError> {
        let cell = table.number("destination", 0.0, None)? as i64;
        let known = self.cells.contains(&cell).then_some(cell);
        known.ok_or_else(|| table.bad("destination", format!("is {cell}, no destination of this file")))
    }
}

/// Reads the table `as2`.
pub(super) fn read(table: &Table, context: &Context) -> Result<As2Config, ConfigError> {
    let key = context.private_key(table)?;
    let certificate = context.certificate(table)?;
    if !certificate.public_key().is_ok_and(|public| public.public_eq(&key)) {
        return Err(table.bad("key", "does not belong to the certificate"));
    }
    let partners = read_partners(table, context)?;
    let remember_days = table.number("remember_days", MIN_REMEMBER_DAYS, Some(DEFAULT_REMEMBER_DAYS))?;
    let config = As2Config {
        listen: table.address("listen")?.ok_or_else(|| table.bad("listen", "is missing"))?,
        identity: Identity {
            name: table.text("name")?.into(),
            key,
            certificate,
            receipt_url: table.text("receipt_url")?.into(),
            receipt_retention: (remember_days * DAY as f64) as Micros,
            partners,
        },
    };
    table.finish()?;
    Ok(config)
}

fn read_partners(table: &Table, context: &Context) -> Result<Vec<Partner>, ConfigError> {
    table.tables("partner")?.iter().map(|partner| read_partner(partner, context)).collect()
}

fn read_partner(table: &Table, context: &Context) -> Result<Partner, ConfigError> {
    let submissions = table.table("hands_in")?;
    let receipt_to = table.maybe_text("receipt_to")?;
    let has_destination = table.get("destination").is_some();
    let destination = has_destination.then(|| context.destination(table)).transpose()?;
    let asynchronous = read_asynchronous(table)?;
    let partner = Partner {
        name: table.text("name")?.into(),
        certificate: context.certificate(table)?,
        destination,
        path: table.maybe_text("path")?.unwrap_or("/").into(),
        asynchronous,
        submissions: submissions.map(|submissions| read_submissions(&submissions, context)).transpose()?,
        receipt_to: receipt_to.map(|text| parse_receipt_to(table, text)).transpose()?,
    };
    table.finish()?;
    Ok(partner)
}

/// Whether receipts are sent on a connection of their own.
fn read_asynchronous(table: &Table) -> Result<bool, ConfigError> {
    match table.maybe_text("receipt")?.unwrap_or("sync") {
        "sync" => Ok(false),
        "async" => Ok(true),
        other => Err(table.bad("receipt", format!("is {other:?}, expected sync or async"))),
    }
}

/// What a partner may submit, and to which destination.
fn read_submissions(table: &Table, context: &Context) -> Result<Submissions, ConfigError> {
    let class = table.text("class")?;
    let number = context.names.class(class).ok_or_else(|| table.bad("class", "is no class of this file"))?;
    let tenant = table.maybe_text("tenant")?;
    let destination = context.destination(table)?;
    table.finish()?;
    if tenant.is_some_and(|tenant| context.names.tenant(tenant).is_none()) {
        return Err(table.bad("tenant", "is no tenant of this file"));
    }
    let deadline = context.settings.classes.get(number).map_or(0, |class| class.deadline);
    Ok(Submissions { class: class.into(), tenant: tenant.map(String::from), destination, deadline })
}

/// Splits the address and the path of asynchronous receipts.
fn parse_receipt_to(table: &Table, text: &str) -> Result<(Arc<str>, String), ConfigError> {
    match text.split_once('/') {
        Some((address, path)) if address.contains(':') => Ok((address.into(), format!("/{path}"))),
        _ => Err(table.bad("receipt_to", format!("is {text:?}, expected host:port/path"))),
    }
}
