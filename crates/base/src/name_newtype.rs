//! The macro that declares a newtype around a string.

/// Declares a name as a newtype around a string, so that names of different things can't be mixed
/// up. The crate that calls it must depend on `derive_more` and `serde`.
#[macro_export]
macro_rules! name_newtype {
    ($(#[$attribute:meta])* $name:ident) => {
        $(#[$attribute])*
        #[derive(
            ::derive_more::AsRef,
            Clone,
            Debug,
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
        #[as_ref(str)]
        #[from(String, &str)]
        #[serde(transparent)]
        pub struct $name(String);

        impl $name {
            /// Returns the name as a string slice.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }
    };
}
