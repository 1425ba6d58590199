//! Render nodes that end, spoil or repeat what they say, on connections that are up.
