//! Which contents are here, and asking the embedder for those that aren't.

use crate::{ContentHash, Member, Output, Topic};

/// Contents a member remembers to have, or not to be able to run.
const MOST_CONTENTS: usize = 32;

impl Member {
    /// Asks the embedder for a content, again only after a while.
    pub(crate) fn want(&mut self, topic: Topic, hash: ContentHash, size: u32, from: Vec<u16>) {
        if self.holder.has(&hash) || self.holder.cannot_run(&hash) {
            return;
        }
        let (now, again) = (self.now, self.config.timing.lease);
        let held = &mut self.holder.topics[topic.index()];
        held.asked.retain(|&(_, at)| now < at + again);
        if held.asked.iter().any(|&(asked, _)| asked == hash) {
            return;
        }
        held.asked.truncate(MOST_CONTENTS);
        held.asked.insert(0, (hash, now));
        let mut sources: Vec<u16> = Vec::new();
        for member in from.into_iter().chain(self.config.voters.iter().copied()) {
            if member != self.config.ordinal && !sources.contains(&member) {
                sources.push(member);
            }
        }
        self.out.push_back(Output::Fetch { topic, hash, size, from: sources });
    }

    pub(crate) fn have(&mut self, hash: ContentHash) {
        self.holder.unsupported.retain(|unsupported| *unsupported != hash);
        remember(&mut self.holder.have, hash);
        self.content_changed(hash);
        for topic in Topic::ALL {
            self.take(topic);
        }
    }

    pub(crate) fn cannot_run(&mut self, hash: ContentHash) {
        self.holder.have.retain(|have| *have != hash);
        remember(&mut self.holder.unsupported, hash);
        self.content_changed(hash);
    }

    /// The leader waits for this word, if it is of what is pending.
    fn content_changed(&mut self, hash: ContentHash) {
        if self
            .holder
            .topics
            .iter()
            .any(|held| held.pending.is_some_and(|pending| pending.version.hash == hash))
        {
            self.renew_now();
        }
    }
}

/// The newest last; the oldest goes.
fn remember(among: &mut Vec<ContentHash>, hash: ContentHash) {
    among.retain(|other| *other != hash);
    if among.len() >= MOST_CONTENTS {
        among.remove(0);
    }
    among.push(hash);
}
