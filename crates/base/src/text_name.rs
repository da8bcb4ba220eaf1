//! How a name is declared: a type of its own around a text.

/// Declares a name: a type of its own around a text, so that names of different things are not
/// confused.
#[macro_export]
macro_rules! text_name {
    ($(#[$about:meta])* $name:ident) => {
        $(#[$about])*
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
            /// Returns the name as text.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }
    };
}
