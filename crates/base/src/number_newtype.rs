//! The macro that declares a newtype around an unsigned integer.

/// Declares a newtype around an unsigned integer, so that numbers of different things, such as
/// epochs and versions, can't be mixed up.
macro_rules! number_newtype {
    ($(#[$attribute:meta])* $name:ident($integer:ty)) => {
        $(#[$attribute])*
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
        pub struct $name(pub $integer);

        impl $name {
            /// Returns the value increased by one, or the value itself if it is the type's maximum.
            pub fn next(self) -> Self {
                Self(self.0.saturating_add(1))
            }
        }
    };
}

pub(crate) use number_newtype;
