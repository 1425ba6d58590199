use super::*;

#[test]
fn passes_every_file_on_and_names_the_first_faulty_one() {
    let folder = tempfile::tempdir().unwrap();
    let write = |name: &str, text: &[u8]| std::fs::write(folder.path().join(name), text).unwrap();
    write("good.toml", b"namespace = \"r\"\nrevision = 1\n");
    assert_eq!(first_invalid(&read_folder(folder.path()).unwrap()), None);
    write("broken.toml", b"namespace = ");
    write("huge.toml", &vec![b'#'; 3 * MAX_FILE_BYTES]);
    write(".half.toml", b"");
    write("notes.txt", b"");
    std::fs::create_dir(folder.path().join("odd.toml")).unwrap();
    let files = read_folder(folder.path()).unwrap();
    let names: Vec<&str> = files.iter().map(|file| &*file.path_on_disk).collect();
    assert_eq!(names, ["broken.toml", "good.toml", "huge.toml", "odd.toml"]);
    assert_eq!(files[2].text.len(), MAX_FILE_BYTES + 1);
    assert_eq!(first_invalid(&files).unwrap().file, "broken.toml");
    assert!(first_invalid(&files[2..3]).is_some(), "the file is too large");
    assert!(read_folder(Path::new("/nowhere/at/all")).is_err());
}
