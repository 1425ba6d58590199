use super::*;
use crate::finding::Finding;
use crate::reader::{LineContent, Reader};
use proptest::prelude::*;

/// Takes at most so many bytes a write; 0: fails.
struct Scripted {
    script: Vec<usize>,
    text: Vec<u8>,
}

impl Sink for Scripted {
    fn begin(&mut self) -> io::Result<bool> {
        Ok(false)
    }
    fn room(&mut self, line: u64) -> io::Result<u64> {
        Ok(line + 100)
    }
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        match self.script.pop() {
            Some(0) => Err(io::ErrorKind::StorageFull.into()),
            most => {
                let taken = bytes.len().min(most.unwrap_or(usize::MAX));
                self.text.extend_from_slice(&bytes[..taken]);
                Ok(taken)
            }
        }
    }
    fn close(&mut self) {}
}

proptest! {
    /// Whatever the queue dropped and wherever writes broke off: read back, each record is there or told as
    /// dropped, and nothing is told of one that is there.
    #[test]
    fn every_record_is_written_or_counted(
        steps in prop::collection::vec((0..4_u64, 0..2_000_000_u64, any::<bool>()), 1..80),
        script in prop::collection::vec(prop_oneof![Just(0_usize), 1..300_usize], 0..60),
        tail in 0..3_u64,
    ) {
        let mut writer = Writer::new(Scripted { script, text: Vec::new() }, "here".to_owned());
        let (mut seq, mut mono_us) = (0, 0);
        for (missing, later, flush) in steps {
            seq += missing.saturating_sub(1);
            mono_us += later;
            writer.set_now(Now { mono_us, wall_us: mono_us + 5 });
            writer.add(Message { seq, mono_us, event: Event::ClientLeft { request: seq } });
            seq += 1;
            if flush {
                writer.flush();
            }
        }
        let produced = seq + tail;
        writer.sink.script.clear();
        writer.finish(produced, EndKind::Orderly);
        prop_assert_eq!(writer.written() + writer.dropped(), produced + 1);

        let (mut expected, mut written, mut dropped, mut stopped) = (0, 0, 0, false);
        for line in Reader::new(&writer.sink.text[..]) {
            match line.content {
                LineContent::Finding(Finding::Truncated { .. }) => {}
                LineContent::Finding(finding) => prop_assert!(false, "{}: {finding}", line.location),
                LineContent::Record(record) => {
                    let from = match record.event {
                        Event::Dropped { count, since_seq } => {
                            dropped += count;
                            since_seq
                        }
                        event => {
                            written += 1;
                            stopped = event == Event::Stop {};
                            record.seq
                        }
                    };
                    prop_assert_eq!(from, expected);
                    expected = record.seq + 1;
                }
            }
        }
        prop_assert!(stopped);
        prop_assert_eq!((written, dropped), (writer.written(), writer.dropped()));
    }
}
