//! How a number that only grows is declared: a type of its own.

/// Declares a number that only grows: a type of its own, so that numbers of different things are not
/// confused.
macro_rules! count_type {
    ($(#[$about:meta])* $name:ident($number:ty)) => {
        $(#[$about])*
        #[derive(
            Clone,
            Copy,
            Debug,
            Default,
            ::serde::Deserialize,
            ::derive_more::Display,
            Eq,
            ::derive_more::From,
            Hash,
            Ord,
            PartialEq,
            PartialOrd,
            ::serde::Serialize,
        )]
        #[serde(transparent)]
        pub struct $name(pub $number);

        impl $name {
            /// Returns the value that follows this one.
            pub fn next(self) -> Self {
                Self(self.0.saturating_add(1))
            }
        }
    };
}

pub(crate) use count_type;
