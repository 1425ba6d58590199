//! The proxy's own records: one JSON object a line.
