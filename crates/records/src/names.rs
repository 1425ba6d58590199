//! Texts that many records share.

use std::borrow::Cow;
use std::sync::Arc;

/// A name that many records share.
pub type Name = Arc<str>;
/// A reason in words, usually a fixed text.
pub type Reason = Cow<'static, str>;
