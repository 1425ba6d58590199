//! Reads the folder with the namespaces' files. Unreadable and invalid files are passed on, because the merge handles them: it
//! holds the namespace back on its last valid file and reports the reason. An owner's mistake thus blocks neither the changes
//! of other owners nor the start of the process.

use cottonnotch_routing_rules::{MAX_FILE_BYTES, RuleFile, RuleFileError, read};
use std::io::Read;
use std::path::Path;

/// Why the folder cannot be read.
#[derive(Debug, thiserror::Error)]
#[error("rules.folder cannot be read: '{path}': {error}")]
pub struct FolderError {
    /// The path of the folder.
    path: String,
    /// The cause.
    error: std::io::Error,
}

/// Reads every `*.toml` file in the folder. A file that cannot be read is returned empty.
pub fn read_folder(folder: &Path) -> Result<Vec<RuleFile>, FolderError> {
    let folder_error = |error| FolderError { path: folder.display().to_string(), error };
    let mut files = Vec::new();
    for entry in std::fs::read_dir(folder).map_err(folder_error)? {
        let path = entry.map_err(folder_error)?.path();
        let Some(name) = path.file_name().and_then(|name| name.to_str()) else { continue };
        // Names that begin with a dot are temporary files of editors and copying tools, and may be incomplete.
        if !name.ends_with(".toml") || name.starts_with('.') {
            continue;
        }
        let text = read_text(&path).unwrap_or_else(|error| {
            log::warn!(error:%; "rules file '{}' cannot be read: {error}", path.display());
            Vec::new()
        });
        // The file is identified by its name without the folder, because the path is part of the content that all members
        // share, and folders differ between proxies.
        files.push(RuleFile::new(name, text));
    }
    files.sort();
    Ok(files)
}

/// Reads at most one byte more than the maximum size of a file. That byte is enough to detect that the file is too large.
fn read_text(path: &Path) -> std::io::Result<Vec<u8>> {
    let mut text = Vec::new();
    std::fs::File::open(path)?.take(MAX_FILE_BYTES as u64 + 1).read_to_end(&mut text)?;
    Ok(text)
}

/// The error of the first invalid file. `cottonnotch check` reports it, so that operators can correct a file before they
/// deploy it.
pub fn first_invalid(files: &[RuleFile]) -> Option<RuleFileError> {
    files.iter().find_map(|file| read(file).err())
}

#[cfg(test)]
#[path = "rules_folder_tests.rs"]
mod tests;
