//! Errors of settings files.

use std::{
    net::SocketAddr,
    path::PathBuf, //
};

use derive_more::{
    Display,
    Error, //
};

/// Error of a settings file. The messages name the line, the key and an acceptable value.
#[derive(Clone, Debug, Display, Eq, Error, PartialEq)]
pub enum SettingsError {
    /// The settings file cannot be read.
    #[display("the settings file {} cannot be read: {reason}", path.display())]
    FileUnreadable {
        /// The settings file.
        path: PathBuf,
        /// The operating system's error.
        reason: String,
    },
    /// The file is not valid YAML.
    #[display("line {line}: this is not YAML: {reason}")]
    Syntax {
        /// The line, from one.
        line: u64,
        /// The parser's message.
        reason: String,
    },
    /// The value has the wrong shape, such as a list in place of one value.
    #[display("line {line}: `{key}` has the wrong shape; give {wants}")]
    Shape {
        /// The line, from one.
        line: u64,
        /// The key that the value belongs to.
        key: String,
        /// The expected value.
        wants: String,
    },
    /// The key does not exist in its section.
    #[display("line {line}: there is no key `{key}` here; the keys are {known}")]
    UnknownKey {
        /// The line, from one.
        line: u64,
        /// The key as given.
        key: String,
        /// The keys that exist in the section.
        known: String,
    },
    /// A key is given twice.
    #[display("line {line}: the key `{key}` is given twice; give it once")]
    DuplicateKey {
        /// The line of the second occurrence, from one.
        line: u64,
        /// The key.
        key: String,
    },
    /// A key that has no default is missing.
    #[display("line {line}: `{key}` is missing; give {wants}")]
    MissingKey {
        /// The line where the key's section begins, from one.
        line: u64,
        /// The key, prefixed with its section's name.
        key: String,
        /// The expected value.
        wants: &'static str,
    },
    /// A value is invalid, out of range or has the wrong unit.
    #[display("line {line}: `{key}` cannot be `{value}`; give {wants}")]
    BadValue {
        /// The line, from one.
        line: u64,
        /// The key, prefixed with its section's name.
        key: String,
        /// The value as given.
        value: String,
        /// The expected value.
        wants: &'static str,
    },
    /// Two listeners share an address.
    #[display("line {line}: `{key}` cannot be the address of `{other}` too; give it its own port")]
    SharedAddress {
        /// The line, from one.
        line: u64,
        /// The second listener's key.
        key: &'static str,
        /// The first listener's key.
        other: &'static str,
    },
    /// The peer address is on loopback while the platform is not: daemons on different VMs would use the same address
    /// and take over each other's seats.
    #[display(
        "line {line}: `listen.peers` cannot be `{address}` while `{other}` is off loopback; give \
         the IP address and port of this VM that the other daemons reach, such as `10.0.0.5:7400`"
    )]
    LoopbackPeers {
        /// The line, from one.
        line: u64,
        /// The address as given.
        address: SocketAddr,
        /// The settings key of the service that is off loopback.
        other: &'static str,
    },
    /// There are fewer slot shares than seats, so some daemon would never hold a share.
    #[display(
        "line {line}: `slot_shares` cannot be {shares} with {seats} seats; give at least {seats}"
    )]
    TooFewShares {
        /// The line, from one.
        line: u64,
        /// The number of slot shares.
        shares: u16,
        /// The number of seats.
        seats: u8,
    },
    /// The administration API would be reachable off loopback without TLS and tokens.
    #[display(
        "line {line}: `listen.administration` is off loopback; set `tls` and `tokens_file`, or, to \
         let anyone in, `allow_open_administration: true`"
    )]
    OpenAdministration {
        /// The line, from one.
        line: u64,
    },
    /// A file that the settings name cannot be read.
    #[display("line {line}: the file of `{key}`, {}, cannot be read: {reason}", path.display())]
    NamedFile {
        /// The line, from one; zero if the settings were not read from a file.
        line: u64,
        /// The key that names the file.
        key: &'static str,
        /// The file that cannot be read.
        path: PathBuf,
        /// The operating system's error.
        reason: String,
    },
}
