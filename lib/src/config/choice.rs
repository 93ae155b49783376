//! Enumerated field values.

use serde::{Deserialize, Serialize};
use strum::{Display, EnumIter, EnumString, IntoStaticStr, VariantNames};

/// Declares an enum whose variants are written in snake case, both in the query language and in the
/// store.
macro_rules! choice {
    ($(#[$meta:meta])* $name:ident { $($(#[$inner:meta])* $variant:ident,)* }) => {
        $(#[$meta])*
        #[derive(
            Clone,
            Copy,
            Debug,
            Display,
            EnumIter,
            EnumString,
            Eq,
            Hash,
            IntoStaticStr,
            Ord,
            PartialEq,
            PartialOrd,
            Serialize,
            Deserialize,
            VariantNames,
        )]
        #[strum(serialize_all = "snake_case")]
        #[serde(rename_all = "snake_case")]
        pub enum $name { $($(#[$inner])* $variant,)* }
    };
}

pub(crate) use choice;

choice!(
    /// The priority of requests; later variants are served first.
    #[derive(Default)]
    Priority {
        /// Deferrable requests.
        Low,
        /// The default.
        #[default]
        Normal,
        /// Served before normal requests.
        High,
        /// Served before all other requests.
        Urgent,
    }
);

choice!(
    /// The type of a service.
    Form {
        /// Served by model engines over the completions protocol.
        Model,
        /// Any HTTP service.
        Plain,
    }
);

choice!(
    /// The role of an engine.
    #[derive(Default)]
    Role {
        /// Prompt processing only.
        Prefill,
        /// Output generation only.
        Decode,
        /// Both.
        #[default]
        Mixed,
    }
);

choice!(
    /// Whether operators let a runner accept new requests.
    #[derive(Default)]
    Admission {
        /// It accepts new requests.
        #[default]
        Ready,
        /// It finishes its current requests and accepts no new ones.
        Drain,
    }
);

choice!(
    /// Whether a runner rejects orders with an outdated fencing token.
    #[derive(Default)]
    Fencing {
        /// It rejects outdated tokens.
        Checked,
        /// It accepts orders with any token. This is the safe assumption.
        #[default]
        Ignored,
    }
);

choice!(
    /// The permissions of an operator; each variant includes those of the earlier ones.
    #[derive(Default)]
    Right {
        /// Read only.
        #[default]
        Look,
        /// Drain runners and set fields of services, runners and policies.
        Operate,
        /// All operations.
        Administer,
    }
);
