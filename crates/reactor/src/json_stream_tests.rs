//! Splitting a byte stream into JSON texts, independent of how the stream is divided into pieces.

use super::*;
use proptest::prelude::*;

fn split(pieces: &[&[u8]]) -> (Vec<String>, Result<(), JsonStreamError>) {
    let (mut texts, mut found) = (JsonStream::new(), Vec::new());
    let result = pieces.iter().try_for_each(|piece| texts.feed(piece, &mut found));
    (found.into_iter().map(|text| String::from_utf8(text).unwrap()).collect(), result)
}

#[test]
fn splits_texts_regardless_of_lines() {
    let indented = "{\n  \"revision\": 1,\n  \"members\": [\n    {\"id\": \"a}\\\"\"}\n  ]\n}";
    let (found, result) = split(&[format!("\r\n{indented}\r\n{{}}{{\"a\":[]}}\n \n").as_bytes()]);
    result.unwrap();
    assert_eq!(found, [indented, "{}", "{\"a\":[]}"]);
}

/// Guards against rejecting a piece that ends directly after the decimal point of `"size":1.25`: the error closed the watch,
/// so that a drain was missed.
#[test]
fn a_truncated_text_is_incomplete() {
    let complete = br#"{"a":-1.25e-3,"b":[1.0,2E+7,-0.5,-7],"c":"\u00e9\n","d":[true,false,null],"e":0}"#;
    for cut in 1..complete.len() {
        let (found, result) = split(&[&complete[..cut], &complete[cut..]]);
        assert!(result.is_ok(), "cut after '{}': {result:?}", complete[..cut].escape_ascii());
        assert_eq!(found, [std::str::from_utf8(complete).unwrap()]);
    }
    for malformed in ["{\"a\":1.", "{\"a\":-", "{\"a\":1e", "{\"a\":0"] {
        let (found, result) = split(&[malformed.as_bytes(), b"x}"]);
        assert!(
            found.is_empty() && result.is_err(),
            "{malformed}: an invalid continuation of a number is an error"
        );
    }
}

#[test]
fn returns_only_complete_texts() {
    let (mut texts, mut found) = (JsonStream::new(), Vec::new());
    texts.feed(b"{\"a\":1", &mut found).unwrap();
    assert!(found.is_empty() && texts.has_partial_text());
    texts.feed(b"}", &mut found).unwrap();
    assert!(found.len() == 1 && !texts.has_partial_text(), "a text is complete without a line end");
    texts.feed(b"\n{\"b\":{}", &mut found).unwrap();
    assert!(found.len() == 1 && texts.has_partial_text());
}

#[test]
fn rejects_other_values_after_the_texts_before() {
    for bad in ["{\"a\":1}\nnull\n", "{\"a\":1}\n12", "{\"a\":1} [] ", "{\"a\":1}{\"b\" 1}", "{\"a\":1}]"] {
        let (found, result) = split(&[bad.as_bytes()]);
        assert!(matches!(result, Err(JsonStreamError::NotJson(_))), "{bad}: {result:?}");
        assert_eq!(found, ["{\"a\":1}"], "{bad}");
    }
}

#[test]
fn bounds_the_length_and_the_searches() {
    let (mut texts, mut found) = (JsonStream::new(), Vec::new());
    texts.feed(b"{\"a\":[", &mut found).unwrap();
    let piece = b"{\"id\":\"x\"},".repeat(1000);
    let most = MAX_TEXT / piece.len() + 2;
    let mut searches = 0;
    let mut feed = || {
        let result = texts.feed(&piece, &mut found);
        searches += u32::from(texts.searched_len == texts.buffer.len());
        result.is_ok()
    };
    let fed = (0..most).take_while(|_| feed()).count();
    assert!(fed < most && found.is_empty());
    assert!((2..=20).contains(&searches), "{searches} searches through {fed} pieces");
}

proptest! {
    /// Any division of the stream into pieces gives the same texts.
    #[test]
    fn any_split_gives_the_same_texts(
        values in prop::collection::vec(("[a-z{}\\[\\],\\\\\" \n]{0,8}", -9.0_f64..9.0, any::<bool>()), 0..6),
        cuts in prop::collection::vec(0_usize..400, 0..12),
    ) {
        let mut all = Vec::new();
        let mut wanted = Vec::new();
        for (text, number, pretty) in values {
            let value = serde_json::json!({"t": text, "n": [{"m": number}, {}], "e": {}});
            let write = if pretty { serde_json::to_string_pretty } else { serde_json::to_string };
            wanted.push(write(&value).unwrap());
            all.extend_from_slice(wanted.last().unwrap().as_bytes());
            all.extend_from_slice(if pretty { b"\r\n\r\n" } else { b"" });
        }
        let mut cuts: Vec<usize> = cuts.into_iter().map(|cut| cut.min(all.len())).collect();
        cuts.extend([0, all.len()]);
        cuts.sort_unstable();
        let pieces: Vec<&[u8]> = cuts.windows(2).map(|cut| &all[cut[0]..cut[1]]).collect();
        let (found, result) = split(&pieces);
        prop_assert!(result.is_ok());
        prop_assert_eq!(found, wanted);
    }

    #[test]
    fn accepts_or_rejects_arbitrary_bytes(pieces in prop::collection::vec(prop::collection::vec(any::<u8>(), 0..40), 0..8)) {
        let (mut texts, mut found) = (JsonStream::new(), Vec::new());
        for piece in &pieces {
            if texts.feed(piece, &mut found).is_err() {
                break;
            }
        }
        for text in found {
            prop_assert!(serde_json::from_slice::<IgnoredAny>(&text).is_ok());
        }
    }
}

#[test]
fn finds_a_text_with_long_blanks_in_pieces() {
    let text = format!("{{{}\"a\":[{{\"b\":1}},{{\"b\":2.0}}]}}\n", " ".repeat(40_000));
    let (mut texts, mut found) = (JsonStream::new(), Vec::new());
    for piece in text.as_bytes().chunks(6_000) {
        texts.feed(piece, &mut found).unwrap();
    }
    assert_eq!(found.len(), 1);
}
