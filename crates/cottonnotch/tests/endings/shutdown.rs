//! A proxy that ends: what is owed at that moment is answered, and nothing is sent on any more.
