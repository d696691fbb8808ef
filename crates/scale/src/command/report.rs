//! `scale report`: tables and plots of a file of slopes.

use std::path::PathBuf;
use std::process::ExitCode;

use clap::Args;
use scale::report::write_plots;
use scale::slopes::file::SlopesFile;
use scale::slopes::table::file_tables;

/// Which file, and where plots go.
#[derive(Debug, Args)]
pub struct ReportArgs {
    /// The file of slopes.
    file: PathBuf,
    /// Folder for the plots; none are made if it is not given.
    #[arg(long)]
    out: Option<PathBuf>,
}

/// Prints the tables, and writes the plots.
pub fn report(args: &ReportArgs) -> anyhow::Result<ExitCode> {
    let file = SlopesFile::read(&args.file)?;
    println!("{}, seed {}, commit {}, {} cores", file.command, file.seed, file.commit, file.machine.cores);
    print!("{}", file_tables(&file));
    if let Some(folder) = &args.out {
        for path in write_plots(&file, folder)? {
            println!("{}", path.display());
        }
    }
    Ok(ExitCode::SUCCESS)
}
