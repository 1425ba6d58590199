//! The files of a state folder and the encoded contents must keep the byte format of earlier builds. A change would make a new
//! build reject the state on disk and the contents of members that run an earlier build.

use super::durable_file::{StateFolder, load};
use super::lease_file::{LeaseFile, LeaseRecord};
use super::state_files::{DURABLE_STATE, LAST_ACTIVE, content_name};
use super::version_content::{ContentBody, VersionContent};
use cottonnotch_consensus::DurableState;
use cottonnotch_golden::{assert_bytes, golden_path};
use cottonnotch_routing_rules::{History, Inventory, Merged, RuleFile, merge};
use cottonnotch_rule_compiler::{Profile, Profiles};

const FILE: &str = r#"
namespace = "consortium"
owner = "fleet@consortium.example"
revision = 12
rules = 1

[[rule]]
name = "no-small-nodes"
classes = ["print"]
place.avoid.hardware = ["small"]
"#;

fn content() -> ContentBody {
    let inventory = Inventory::of("consortium", &["a"], &["print"], &["north"], &["small", "large"], 100);
    let files = [RuleFile::new("consortium.toml", FILE)];
    let Merged { book, history, .. } = merge(&History::default(), &files, &inventory);
    let profiles = Profiles::from([("large".to_owned(), Profile::full())]);
    ContentBody::new(Some([7; 32]), history, book, profiles, inventory)
}

#[test]
fn a_content_keeps_its_bytes_and_its_name() {
    let encoded = content().compile().unwrap();
    let actual = [
        ("content", encoded.bytes.to_vec()),
        ("hash", encoded.hash.to_vec()),
        ("file_name", content_name(&encoded.hash).into_bytes()),
        ("plan_hash", encoded.plan.hash().to_vec()),
    ];
    let golden = assert_bytes(&golden_path!("content.txt"), &actual);
    let read = VersionContent::decode(golden[0].clone()).unwrap();
    assert_eq!((read.body, read.hash, read.plan.hash()), (content(), encoded.hash, encoded.plan.hash()));
}

#[test]
fn the_files_of_a_state_folder_keep_their_bytes() {
    let folder = tempfile::tempdir().unwrap();
    let state_folder = StateFolder::open(folder.path()).unwrap();
    let lease = LeaseRecord { number: 11, hash: [9; 32], until: 1_234_567_890 };
    state_folder.save(DURABLE_STATE, &postcard::to_allocvec(&DurableState::initial()).unwrap()).unwrap();
    state_folder.save(LAST_ACTIVE, &postcard::to_allocvec(&(11_u64, [9_u8; 32])).unwrap()).unwrap();
    LeaseFile::create(folder.path()).unwrap().write(lease).unwrap();
    let names = ["memory", "held", "lease"];
    let encoded = names.map(|name| (name, std::fs::read(folder.path().join(name)).unwrap()));
    let golden = assert_bytes(&golden_path!("state_folder.txt"), &encoded);

    let other = tempfile::tempdir().unwrap();
    for (name, bytes) in names.iter().zip(&golden) {
        std::fs::write(other.path().join(name), bytes).unwrap();
    }
    let durable_state = load(other.path(), DURABLE_STATE).unwrap().unwrap();
    assert_eq!(postcard::from_bytes::<DurableState>(&durable_state).unwrap(), DurableState::initial());
    let last_active = load(other.path(), LAST_ACTIVE).unwrap().unwrap();
    assert_eq!(postcard::from_bytes::<(u64, [u8; 32])>(&last_active).unwrap(), (11, [9; 32]));
    assert_eq!(LeaseFile::open(other.path()).unwrap().read(), Some(lease));
}
