use {
    crate::{
        errors::RunError,
        report::{LogLine, read_lines},
    },
    clap::{Arg, ArgAction, ArgMatches, value_parser},
    std::{fs::File, io::BufReader, path::PathBuf},
};

/// The argument for files with hosts' lines.
pub fn files_argument() -> Arg {
    Arg::new("files")
        .value_name("FILE")
        .num_args(0..)
        .value_parser(value_parser!(PathBuf))
        .help("What hosts wrote to standard output; standard input if none is named")
}

/// The argument for answers that a script reads.
pub fn json_argument() -> Arg {
    Arg::new("json")
        .long("json")
        .action(ArgAction::SetTrue)
        .help("Print one JSON object")
}

/// Reads the lines of all files, or of standard input.
pub fn lines_of(arguments: &ArgMatches) -> Result<Vec<LogLine>, RunError> {
    let files: Vec<&PathBuf> = arguments.get_many("files").into_iter().flatten().collect();
    if files.is_empty() {
        return read_lines(std::io::stdin().lock()).map_err(|source| RunError::File {
            file: "-".into(),
            source,
        });
    }
    let mut lines = Vec::new();
    for file in files {
        let failed = |source| RunError::File {
            file: file.clone(),
            source,
        };
        let opened = File::open(file).map_err(failed)?;
        lines.extend(read_lines(BufReader::new(opened)).map_err(failed)?);
    }
    Ok(lines)
}
