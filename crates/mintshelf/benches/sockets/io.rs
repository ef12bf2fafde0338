//! Reading and writing on asynchronous streams.

use super::BenchError;
use tokio::net::TcpStream;

/// Reads once, as soon as there is something to read.
pub async fn read(stream: &TcpStream, buffer: &mut [u8]) -> std::io::Result<usize> {
    loop {
        stream.readable().await?;
        match stream.try_read(buffer) {
            Err(error) if error.kind() == std::io::ErrorKind::WouldBlock => {}
            other => return other,
        }
    }
}

/// Writes all bytes.
pub async fn write(stream: &TcpStream, mut bytes: &[u8]) -> std::io::Result<()> {
    while !bytes.is_empty() {
        stream.writable().await?;
        match stream.try_write(bytes) {
            Ok(count) => bytes = &bytes[count..],
            Err(error) if error.kind() == std::io::ErrorKind::WouldBlock => {}
            Err(error) => return Err(error),
        }
    }
    Ok(())
}

/// Reads to a blank line; all bytes that were read.
pub async fn read_head(stream: &TcpStream) -> Result<Vec<u8>, BenchError> {
    let (mut all, mut buffer) = (Vec::new(), [0; 1024]);
    while !all.windows(4).any(|w| w == b"\r\n\r\n") {
        match read(stream, &mut buffer).await? {
            0 => return Err("it ended".into()),
            count => all.extend_from_slice(&buffer[..count]),
        }
    }
    Ok(all)
}
