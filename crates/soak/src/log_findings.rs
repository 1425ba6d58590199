//! Findings in the daemons' own logs.

use std::fs;
use std::io;
use std::path::Path;

/// Texts that no line of a passed run contains: broken rules as the daemon's guard counts them, and panics.
const FAILURE_TEXTS: [&str; 3] = ["rule violation", "invariant broken", "panicked at"];
/// Most lines returned for each log.
const MAX_LINES: usize = 5;

/// The lines of all logs in a folder that report a failure, each after its file's name. Fails if the folder cannot be read.
pub fn log_findings(folder: &Path) -> io::Result<Vec<String>> {
    let mut found = Vec::new();
    for entry in fs::read_dir(folder)? {
        let path = entry?.path();
        if path.extension().is_none_or(|extension| extension != "log") {
            continue;
        }
        let name = path.file_name().map(|name| name.to_string_lossy().into_owned()).unwrap_or_default();
        let bytes = fs::read(&path)?;
        let text = String::from_utf8_lossy(&bytes);
        let failures = text.lines().filter(|line| FAILURE_TEXTS.iter().any(|failure| line.contains(failure)));
        found.extend(failures.take(MAX_LINES).map(|line| format!("{name}: {line}")));
    }
    found.sort_unstable();
    Ok(found)
}
