//! The servers, and the TCP relay that the daemon is compared with.

use super::io::{read, read_head, write};
use super::{BenchError, RELAY, SERVERS};
use std::net::SocketAddr;
use tokio::net::{TcpListener, TcpStream};
use tokio::task::spawn_local;

/// A server: accepts sockets and echoes each frame without its mask; responds to plain requests.
pub async fn server(at: &str) -> Result<(), BenchError> {
    let listener = TcpListener::bind(at.parse::<SocketAddr>()?).await?;
    while let Ok((stream, _)) = listener.accept().await {
        spawn_local(async move {
            let _ = stream.set_nodelay(true);
            while let Ok(request) = read_head(&stream).await {
                let text = String::from_utf8_lossy(&request).into_owned();
                let Some((_, key)) = text.split_once("sec-websocket-key: ") else {
                    let plain = b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ngood";
                    if write(&stream, plain).await.is_err() {
                        return;
                    }
                    continue;
                };
                let key = key.lines().next().unwrap_or("");
                let accept = tungstenite::handshake::derive_accept_key(key.as_bytes());
                let read_head = format!(
                    "HTTP/1.1 101 Switching Protocols\r\nConnection: Upgrade\r\n\
                     Upgrade: websocket\r\nSec-WebSocket-Accept: {accept}\r\n\r\n"
                );
                if write(&stream, read_head.as_bytes()).await.is_err() {
                    return;
                }
                let _ = echo(&stream).await;
                return;
            }
        });
    }
    Ok(())
}

/// Echoes short frames unmasked, a close too.
async fn echo(stream: &TcpStream) -> Result<(), BenchError> {
    let (mut received, mut buffer) = (Vec::new(), vec![0; 4096]);
    loop {
        match read(stream, &mut buffer).await? {
            0 => return Ok(()),
            count => received.extend_from_slice(&buffer[..count]),
        }
        let mut out = Vec::new();
        while received.len() >= 6 {
            let length = usize::from(received[1] & 0x7f);
            if received.len() < 6 + length {
                break;
            }
            let key = [received[2], received[3], received[4], received[5]];
            // A pong for a ping.
            let first = if received[0] == 0x89 { 0x8a } else { received[0] };
            out.extend_from_slice(&[first, length as u8]);
            let payload = received[6..6 + length].iter().zip(key.iter().cycle());
            out.extend(payload.map(|(byte, key)| byte ^ key));
            received.drain(..6 + length);
        }
        if !out.is_empty() {
            write(stream, &out).await?;
        }
    }
}

/// A minimal relay: bytes from one connection to the other and back, to each server in turn.
pub async fn relay() -> Result<(), BenchError> {
    let listener = TcpListener::bind(RELAY.parse::<SocketAddr>()?).await?;
    let mut turn = 0;
    while let Ok((client, _)) = listener.accept().await {
        turn += 1;
        let to = SERVERS[turn % SERVERS.len()];
        spawn_local(async move {
            let server = TcpStream::connect(to).await?;
            client.set_nodelay(true)?;
            server.set_nodelay(true)?;
            let one_way = async |from: &TcpStream, to: &TcpStream| -> std::io::Result<()> {
                let mut buffer = vec![0; 16 << 10];
                loop {
                    match read(from, &mut buffer).await? {
                        0 => return Ok(()),
                        count => write(to, &buffer[..count]).await?,
                    }
                }
            };
            tokio::select! {
                ended = one_way(&client, &server) => ended,
                ended = one_way(&server, &client) => ended,
            }
        });
    }
    Ok(())
}
