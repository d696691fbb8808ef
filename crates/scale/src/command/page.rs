//! `scale page`: puts the figures of a file of slopes in the place of the marked figures of a page.

use std::fs;
use std::path::{Path, PathBuf};
use std::process::ExitCode;

use anyhow::Context;
use clap::Args;
use scale::page::{marked_tables, rewrite};
use scale::slopes::file::SlopesFile;

/// Which page, and which file.
#[derive(Debug, Args)]
pub struct PageArgs {
    /// The page.
    #[arg(default_value = "docs/CAPACITY.md")]
    page: PathBuf,
    /// The file of slopes.
    #[arg(long, default_value = "docs/capacity/slopes.json")]
    slopes: PathBuf,
    /// Prints tables with a mark for every figure, to begin a page with, and leaves the page alone.
    #[arg(long)]
    print_tables: bool,
}

/// Rewrites the page.
pub fn page(args: &PageArgs) -> anyhow::Result<ExitCode> {
    let file = SlopesFile::read(&args.slopes)?;
    if args.print_tables {
        print!("{}", marked_tables(&file));
        return Ok(ExitCode::SUCCESS);
    }
    rewrite_file(&args.page, &file)?;
    Ok(ExitCode::SUCCESS)
}

/// Rewrites a page with the figures of a file that is read already.
pub fn rewrite_file(page: &Path, file: &SlopesFile) -> anyhow::Result<()> {
    let name = || page.display().to_string();
    let text = fs::read_to_string(page).with_context(name)?;
    fs::write(page, rewrite(&text, file).with_context(name)?).with_context(name)
}
