//! String formats: each is a definition with a pattern.

use schemars::{json_schema, JsonSchema, Schema, SchemaGenerator};
use std::borrow::Cow;

/// Defines a string type with a pattern.
macro_rules! text {
    ($name:ident, $title:literal, $pattern:literal, $what:literal) => {
        #[doc = $what]
        #[allow(clippy::doc_markdown, reason = "the description in the schema is plain text")]
        #[derive(Debug)]
        pub struct $name;

        impl JsonSchema for $name {
            fn schema_name() -> Cow<'static, str> {
                $title.into()
            }

            fn json_schema(_: &mut SchemaGenerator) -> Schema {
                json_schema!({"type": "string", "pattern": $pattern, "description": $what})
            }
        }
    };
}

text!(
    FormattedDuration,
    "span",
    r"^\s*[0-9][0-9A-Za-z.µ ]*[A-Za-z]\s*$",
    "A duration with its unit, as in 400ms or 1.5s."
);
text!(
    Size,
    "size",
    r"^\s*[0-9][0-9.]*\s*[A-Za-z]*\s*$",
    "A number of bytes with its unit, as in 64KiB."
);
text!(Address, "address", r"^[0-9a-fA-F.:\[\]%]+:[0-9]+$", "An IP address and a port.");
text!(HeaderName, "header", r"^[!#$%&'*+.^_`|~0-9A-Za-z-]+$", "A header name (RFC 9110 5.1).");
text!(Rate, "rate", r"^[0-9]+\s*/[smh]$", "A rate, as in 100/s, 30/m or 5/h.");
text!(Path, "path", r"^/[^\s?#]*$", "A path that begins with a slash.");
text!(Origin, "origin", r"^[0-9A-Za-z]+://[^/@\s]+$", "A scheme and a host (RFC 6454).");
text!(Method, "method", r"^[A-Z-]+$", "An HTTP method in capitals.");
text!(
    Network,
    "network",
    r"^[0-9a-fA-F.:]+/[0-9]{1,3}$",
    "A network, as in 10.0.0.0/8 or 2001:db8::/32."
);
text!(
    AttemptTimeout,
    "per-try-timeout",
    r"^(adaptive|none|\s*[0-9][0-9A-Za-z.µ ]*[A-Za-z]\s*)$",
    "A duration, adaptive or none."
);
text!(
    HedgeDelay,
    "copy-after",
    r"^(p95|\s*[0-9][0-9A-Za-z.µ ]*[A-Za-z]\s*)$",
    "A duration, or p95."
);
text!(
    Sticky,
    "sticky",
    r"^(client|header:.+|cookie:.+|query:.+)$",
    "The key by which a client sticks to one cluster."
);
