//! Values of fields that are one of a few names.

use serde::{Deserialize, Serialize};
use strum::{Display, EnumIter, EnumString, IntoStaticStr, VariantNames};

/// Declares an enum whose variants are written in snake case, in the language and in the store.
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
    /// How urgent work is; the later ones go first.
    #[derive(Default)]
    Priority {
        /// Work that can wait.
        Low,
        /// Work without a mark.
        #[default]
        Normal,
        /// Work that goes first.
        High,
        /// Work that goes before all else.
        Urgent,
    }
);

choice!(
    /// What a service is.
    Form {
        /// Served by model engines over the completions protocol.
        Model,
        /// Any HTTP service.
        Plain,
    }
);

choice!(
    /// The work that an engine does.
    #[derive(Default)]
    Role {
        /// Prompts only.
        Prefill,
        /// Output tokens only.
        Decode,
        /// Both.
        #[default]
        Mixed,
    }
);

choice!(
    /// What operators want of a runner.
    #[derive(Default)]
    Admission {
        /// It takes new work.
        #[default]
        Ready,
        /// It finishes what it has and takes nothing new.
        Drain,
    }
);

choice!(
    /// Whether a runner refuses orders with an old fencing number.
    #[derive(Default)]
    Fencing {
        /// It refuses old numbers.
        Checked,
        /// It obeys whoever speaks. The safe assumption.
        #[default]
        Ignored,
    }
);

choice!(
    /// What an operator may do; the later ones may do all that the earlier may.
    #[derive(Default)]
    Right {
        /// Ask.
        #[default]
        Look,
        /// Drain runners and set fields of services, runners and policies.
        Operate,
        /// Everything.
        Administer,
    }
);
