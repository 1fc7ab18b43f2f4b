//! Validation of names, and quoting of text in messages.

use crate::limits::{MAX_NAME_CHARS, MAX_QUOTED_CHARS};

/// The kind of a name, which determines its allowed characters.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "lowercase")]
pub enum NameKind {
    /// A service. Its name is the first segment of a path.
    Service,
    /// A call of a service.
    Call,
    /// A data centre.
    #[strum(serialize = "data centre")]
    DataCentre,
    /// A tenant.
    Tenant,
    /// The deployment.
    Deployment,
}

impl NameKind {
    /// Describes the names that are allowed.
    #[must_use]
    pub const fn allowed(self) -> &'static str {
        match self {
            Self::Service => {
                "1 to 63 lower-case letters, digits and hyphens, beginning with a letter"
            }
            Self::Tenant => {
                "1 to 63 letters, digits, '-', '_' and '.', beginning with a letter or digit; \
                 not \"other\", which counts all unlisted tenants"
            }
            Self::Call | Self::DataCentre | Self::Deployment => {
                "1 to 63 letters, digits, '-', '_' and '.', beginning with a letter or digit"
            }
        }
    }

    pub(crate) fn accepts(self, name: &str) -> bool {
        if name.len() > MAX_NAME_CHARS {
            return false;
        }
        match self {
            Self::Service => is_service_name(name),
            Self::Tenant => is_label(name) && name != OTHER_TENANT,
            Self::Call | Self::DataCentre | Self::Deployment => is_label(name),
        }
    }
}

const OTHER_TENANT: &str = "other";

fn is_service_name(name: &str) -> bool {
    if !name.starts_with(|c: char| c.is_ascii_lowercase()) {
        return false;
    }
    name.bytes()
        .all(|b| b.is_ascii_lowercase() || b.is_ascii_digit() || b == b'-')
}

fn is_label(name: &str) -> bool {
    if !name.starts_with(|c: char| c.is_ascii_alphanumeric()) {
        return false;
    }
    name.bytes()
        .all(|b| b.is_ascii_alphanumeric() || matches!(b, b'-' | b'_' | b'.'))
}

/// Quotes a piece of the text for a message: escapes it and truncates it if it is
/// long.
pub(crate) fn quoted(piece: &str) -> String {
    let Some((cut_at, _)) = piece.char_indices().nth(MAX_QUOTED_CHARS) else {
        return format!("{piece:?}");
    };
    format!("{:?}...", &piece[..cut_at])
}

/// Truncates a piece of the text that a fault stores.
pub(crate) fn shortened(piece: &str) -> String {
    let Some((cut_at, _)) = piece.char_indices().nth(MAX_QUOTED_CHARS) else {
        return piece.to_owned();
    };
    format!("{}...", &piece[..cut_at])
}
