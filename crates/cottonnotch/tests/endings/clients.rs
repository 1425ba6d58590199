//! Clients that leave, end their sending, or send too much, while something is owed to them.
