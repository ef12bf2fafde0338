//! The exit codes of the commands.

/// A file cannot be read, or an argument or environment variable is invalid.
pub const EXIT_UNUSABLE_INPUT: u8 = 2;
/// No replica responds, or none that responds is the leader.
pub const EXIT_UNAVAILABLE: u8 = 69;
/// The lease was lost while the command ran.
pub const EXIT_LEASE_LOST: u8 = 74;
/// The lease was not acquired in time.
pub const EXIT_LEASE_NOT_ACQUIRED: u8 = 75;
/// The command can't be executed; shells use the same code.
pub const EXIT_NOT_EXECUTABLE: u8 = 127;
/// Base for a command that was ended by a signal, to which the signal's number is added, as in
/// shells.
pub const EXIT_SIGNAL_BASE: u8 = 128;
/// The command has ended with neither an exit code nor a signal.
pub const EXIT_UNKNOWN_STATUS: u8 = 1;
