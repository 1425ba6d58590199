//! The folder with the namespaces' files. A file that can't be read, or isn't valid, is passed on as it is: the merge holds its
//! namespace back on the last valid file and reports why. So one owner's mistake stops no other's change, and no start.

use cottonnotch_routing_rules::{MAX_FILE_BYTES, RuleFile, RuleFileError, read};
use std::io::Read;
use std::path::Path;

/// Why the folder can't be read.
#[derive(Debug, thiserror::Error)]
#[error("rules.folder cannot be read: '{path}': {error}")]
pub struct FolderError {
    /// The folder.
    path: String,
    /// What failed.
    error: std::io::Error,
}

/// Reads every `*.toml` in the folder.
pub fn read_folder(folder: &Path) -> Result<Vec<RuleFile>, FolderError> {
    let unreadable = |error| FolderError { path: folder.display().to_string(), error };
    let mut files = Vec::new();
    for entry in std::fs::read_dir(folder).map_err(unreadable)? {
        let path = entry.map_err(unreadable)?.path();
        let Some(name) = path.file_name().and_then(|name| name.to_str()) else { continue };
        // Files that an editor or a copying tool left incomplete are no rule files.
        if !name.ends_with(".toml") || name.starts_with('.') {
            continue;
        }
        let text = read_text(&path).unwrap_or_else(|error| {
            log::warn!(error:%; "rules file '{}' cannot be read: {error}", path.display());
            Vec::new()
        });
        // By its name alone: folders differ from proxy to proxy, and what members agree on must not.
        files.push(RuleFile::new(name, text));
    }
    files.sort();
    Ok(files)
}

/// Reads at most one byte more than a file may have, which shows that it is too large.
fn read_text(path: &Path) -> std::io::Result<Vec<u8>> {
    let mut text = Vec::new();
    std::fs::File::open(path)?.take(MAX_FILE_BYTES as u64 + 1).read_to_end(&mut text)?;
    Ok(text)
}

/// The first invalid file, for a check before files are put in place.
pub fn first_faulty(files: &[RuleFile]) -> Option<RuleFileError> {
    files.iter().find_map(|file| read(file).err())
}

#[cfg(test)]
#[path = "rules_folder_tests.rs"]
mod tests;
