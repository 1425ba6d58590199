//! Fetches contents from other members.

use super::content_server::content_url;
use super::version_content::short_hex;
use cottonnotch_consensus::ContentHash;
use std::net::SocketAddr;
use std::time::Duration;

/// The timeout for connecting to a member.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// The timeout for the complete request, including the response body.
const FETCH_TIMEOUT: Duration = Duration::from_secs(3);

/// Fetches the content from the first member that returns bytes with the right hash. Returns `None` if no member does.
pub fn fetch_content(
    members: impl Iterator<Item = SocketAddr>,
    hash: &ContentHash,
    size: u32,
) -> Option<Vec<u8>> {
    let config = ureq::Agent::config_builder()
        .timeout_connect(Some(CONNECT_TIMEOUT))
        .timeout_global(Some(FETCH_TIMEOUT))
        .proxy(None)
        .build();
    let client = ureq::Agent::new_with_config(config);
    for member in members {
        match get(&client, member, hash, size) {
            Ok(bytes) if blake3::hash(&bytes).as_bytes() == hash => return Some(bytes),
            Ok(_) => {
                log::warn!(member:%; "rules {} from {member} do not match their hash", short_hex(hash));
            }
            Err(error) => {
                log::info!(member:%, error:%; "rules {} cannot be fetched from {member}: {error}", short_hex(hash));
            }
        }
    }
    None
}

/// Reads at most one byte more than the announced size. That byte is enough to detect a longer body.
fn get(
    client: &ureq::Agent,
    member: SocketAddr,
    hash: &ContentHash,
    size: u32,
) -> Result<Vec<u8>, ureq::Error> {
    let mut response = client.get(content_url(member, hash)).call()?;
    response.body_mut().with_config().limit(u64::from(size).saturating_add(1)).read_to_vec()
}
