//! Why a settings file is refused.

use std::{
    net::SocketAddr,
    path::PathBuf, //
};

use derive_more::{
    Display,
    Error, //
};

/// Why a settings file is refused. Each sentence names the line and the key, and what would do.
#[derive(Clone, Debug, Display, Eq, Error, PartialEq)]
pub enum SettingsError {
    /// The settings file cannot be read.
    #[display("the settings file {} cannot be read: {reason}", path.display())]
    FileUnreadable {
        /// The file.
        path: PathBuf,
        /// What the system says.
        reason: String,
    },
    /// The file is not YAML.
    #[display("line {line}: this is not YAML: {reason}")]
    Syntax {
        /// The line, from one.
        line: u64,
        /// What the parser says.
        reason: String,
    },
    /// The value has the wrong shape, such as a list in place of one value.
    #[display("line {line}: `{key}` has the wrong shape; give {wants}")]
    Shape {
        /// The line, from one.
        line: u64,
        /// The key that the value belongs to.
        key: String,
        /// What would do.
        wants: String,
    },
    /// No key of this name exists there.
    #[display("line {line}: there is no key `{key}` here; the keys are {known}")]
    UnknownKey {
        /// The line, from one.
        line: u64,
        /// The key as given.
        key: String,
        /// The keys that exist there.
        known: String,
    },
    /// A key is given twice.
    #[display("line {line}: the key `{key}` is given twice; give it once")]
    DuplicateKey {
        /// The line of the second, from one.
        line: u64,
        /// The key.
        key: String,
    },
    /// A key that has no default is missing.
    #[display("line {line}: `{key}` is missing; give {wants}")]
    MissingKey {
        /// The line where its section begins, from one.
        line: u64,
        /// The key, after its section's name.
        key: String,
        /// What would do.
        wants: &'static str,
    },
    /// A value is impossible, or has the wrong unit.
    #[display("line {line}: `{key}` cannot be `{value}`; give {wants}")]
    BadValue {
        /// The line, from one.
        line: u64,
        /// The key, after its section's name.
        key: String,
        /// The value as given.
        value: String,
        /// What would do.
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
    /// Daemons of other VMs would listen at the same address, and take each other's seat.
    #[display(
        "line {line}: `listen.peers` cannot be `{address}` while `{other}` is off loopback; give \
         the IP address and port of this VM that the other daemons reach, such as `10.0.0.5:7400`"
    )]
    LoopbackPeers {
        /// The line, from one.
        line: u64,
        /// The address as given.
        address: SocketAddr,
        /// The key of the service that is off loopback.
        other: &'static str,
    },
    /// There are fewer slot shares than seats, so that some daemon would never hold any.
    #[display(
        "line {line}: `slot_shares` cannot be {shares} with {seats} seats; give at least {seats}"
    )]
    TooFewShares {
        /// The line, from one.
        line: u64,
        /// The slot shares.
        shares: u16,
        /// The seats.
        seats: u8,
    },
    /// The administration API would be open to the network.
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
        /// The line, from one; zero when the settings came from no file.
        line: u64,
        /// The key.
        key: &'static str,
        /// The file.
        path: PathBuf,
        /// What the system says.
        reason: String,
    },
}
