//! What the daemons' own logs say against them.

use std::fs;
use std::io;
use std::path::Path;

/// Words of a line that no sound run has: broken rules as the daemon's guard counts them, and panics.
const ACCUSING: [&str; 3] = ["rule violation", "invariant broken", "panicked at"];
/// Lines given at most for each log.
const MOST_LINES: usize = 5;

/// The accusing lines of all logs in a folder, each with its file's name. Fails if the folder can't be read.
pub fn accusations(folder: &Path) -> io::Result<Vec<String>> {
    let mut found = Vec::new();
    for entry in fs::read_dir(folder)? {
        let path = entry?.path();
        if path.extension().is_none_or(|extension| extension != "log") {
            continue;
        }
        let name = path.file_name().map(|name| name.to_string_lossy().into_owned()).unwrap_or_default();
        let bytes = fs::read(&path)?;
        let text = String::from_utf8_lossy(&bytes);
        let accusing = text.lines().filter(|line| ACCUSING.iter().any(|words| line.contains(words)));
        found.extend(accusing.take(MOST_LINES).map(|line| format!("{name}: {line}")));
    }
    found.sort_unstable();
    Ok(found)
}
