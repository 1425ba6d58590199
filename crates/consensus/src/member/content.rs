//! The contents that are available locally, and requests to the embedder to fetch the others.

use crate::{ContentHash, Member, Output, Topic};

/// The limit of each list of contents: available ones, unsupported ones, and ones requested for a topic.
const MAX_CONTENTS: usize = 32;

impl Member {
    /// Asks the embedder to fetch a content, at most once within the duration of a lease, because fetching may be slow.
    pub(super) fn fetch_content(&mut self, topic: Topic, hash: ContentHash, size: u32, from: Vec<u16>) {
        if self.lease_holder.is_available(&hash) || self.lease_holder.is_unsupported(&hash) {
            return;
        }
        let (now, retry_after) = (self.now, self.config.timing.lease);
        let requested = &mut self.lease_holder.topics[topic.index()].requested_contents;
        requested.retain(|&(_, requested_at)| now < requested_at + retry_after);
        if requested.iter().any(|&(requested, _)| requested == hash) {
            return;
        }
        requested.truncate(MAX_CONTENTS);
        requested.insert(0, (hash, now));
        let from = self.content_sources(from);
        self.outputs.push_back(Output::Fetch { topic, hash, size, from });
    }

    /// Returns the members that may have a content: the given members, then the voters, without duplicates and without
    /// this member.
    fn content_sources(&self, first: Vec<u16>) -> Vec<u16> {
        let mut sources: Vec<u16> = Vec::new();
        for member in first.into_iter().chain(self.config.voters.iter().copied()) {
            if member != self.config.ordinal && !sources.contains(&member) {
                sources.push(member);
            }
        }
        sources
    }

    pub(super) fn content_ready(&mut self, hash: ContentHash) {
        self.lease_holder.contents.unsupported.retain(|unsupported| *unsupported != hash);
        remember(&mut self.lease_holder.contents.available, hash);
        self.report_pending_content(hash);
        for topic in Topic::ALL {
            self.activate_offered(topic);
        }
    }

    pub(super) fn content_unsupported(&mut self, hash: ContentHash) {
        self.lease_holder.contents.available.retain(|available| *available != hash);
        remember(&mut self.lease_holder.contents.unsupported, hash);
        self.report_pending_content(hash);
    }

    /// Sends a lease request immediately if the content is pending, because the leader waits for members to become
    /// ready.
    fn report_pending_content(&mut self, hash: ContentHash) {
        let is_pending = self
            .lease_holder
            .topics
            .iter()
            .any(|lease| lease.pending.is_some_and(|pending| pending.version.hash == hash));
        if is_pending {
            self.request_lease_now();
        }
    }
}

/// Adds a content as the newest, and removes the oldest one if the list is full.
fn remember(contents: &mut Vec<ContentHash>, hash: ContentHash) {
    contents.retain(|other| *other != hash);
    if contents.len() >= MAX_CONTENTS {
        contents.remove(0);
    }
    contents.push(hash);
}
