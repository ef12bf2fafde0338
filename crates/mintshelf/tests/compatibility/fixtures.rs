//! Reads fixtures and compares output with them.

use std::path::PathBuf;
use std::process::{Command, Output};

/// The program under test.
pub const PROGRAM: &str = env!("CARGO_BIN_EXE_mintshelf");

/// Set to rewrite the fixtures instead of comparing; for a deliberate change of an interface.
const WRITE: &str = "MINTSHELF_WRITE_FIXTURES";

/// A directory that is removed when the test ends.
pub struct TemporaryDirectory(pub PathBuf);

impl TemporaryDirectory {
    /// Creates one; `name` is unique among the tests.
    pub fn new(name: &str) -> Self {
        let name = format!("mintshelf-compatibility-{name}-{}", std::process::id());
        let path = std::env::temp_dir().join(name);
        std::fs::create_dir_all(&path).unwrap();
        TemporaryDirectory(path)
    }

    /// Writes a file in it and returns the path as text.
    pub fn write(&self, name: &str, text: &str) -> String {
        let path = self.0.join(name);
        std::fs::write(&path, text).unwrap();
        path.display().to_string()
    }
}

impl Drop for TemporaryDirectory {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

/// Where a fixture is.
pub fn path(name: &str) -> PathBuf {
    PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("tests/compatibility/fixtures").join(name)
}

/// A text fixture's content.
pub fn text(name: &str) -> String {
    std::fs::read_to_string(path(name)).unwrap_or_else(|error| panic!("{name}: {error}"))
}

/// Fails unless the output is exactly the fixture.
pub fn assert_same(name: &str, output: &str) {
    if std::env::var_os(WRITE).is_some() {
        std::fs::write(path(name), output).unwrap();
    }
    let expected = text(name);
    let lines = expected.lines().zip(output.lines()).enumerate();
    for (number, (expected, output)) in lines {
        assert_eq!(expected, output, "{name}, line {}", number + 1);
    }
    assert_eq!(expected.len(), output.len(), "{name}: one is longer\n{output}");
}

/// Runs the program: exit code, standard output and standard error.
pub fn run(arguments: &[&str]) -> (i32, String, String) {
    let output = Command::new(PROGRAM).args(arguments).env_remove("RELAY_CONFIG").output();
    texts(output.unwrap())
}

/// Exit code, standard output and standard error of a finished program.
pub fn texts(output: Output) -> (i32, String, String) {
    let text = |bytes| String::from_utf8(bytes).unwrap();
    (output.status.code().unwrap(), text(output.stdout), text(output.stderr))
}

/// Bytes as hex digits.
pub fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

/// Hex digits as bytes.
pub fn unhex(digits: &str) -> Vec<u8> {
    let pairs = digits.as_bytes().chunks(2).map(|pair| std::str::from_utf8(pair).unwrap());
    pairs.map(|pair| u8::from_str_radix(pair, 16).unwrap()).collect()
}
