//! `discovery ADDRESS UID=ENDPOINT...`: lists these servers, always the same, and holds watches for
//! as long as they may wait.

use review_stand_ins::{argument, response, Peer};
use std::io::Write;
use std::net::{TcpListener, TcpStream};
use std::thread::{sleep, spawn};
use std::time::Duration;

fn main() {
    let listener = TcpListener::bind(argument(1)).expect("the address is free");
    for stream in listener.incoming().flatten() {
        spawn(move || serve(stream));
    }
}

fn full_list() -> String {
    let entries = std::env::args().skip(2).filter_map(|text| {
        let (uid, endpoint) = text.split_once('=')?;
        let zone = std::env::var("ZONE").unwrap_or_default();
        let model = std::env::var("MODEL").unwrap_or_default();
        Some(format!(
            "{{\"uid\":\"{uid}\",\"endpoint\":\"{endpoint}\",\"az\":\"{zone}\",\"model\":\"{model}\",\
             \"pod_group\":0,\"state\":\"SERVING\",\"capacity_hint\":1.0,\"boot_ms\":0}}"
        ))
    });
    let entries: Vec<String> = entries.collect();
    format!("{{\"rev\":1,\"all\":true,\"targets\":[{}]}}", entries.join(","))
}

fn serve(stream: TcpStream) {
    let mut peer = Peer::new(stream);
    while let Ok(Some(request)) = peer.read() {
        let parameter = |name: &str| {
            let query = request.target().split('?').nth(1)?;
            let pair = query.split('&').find_map(|pair| pair.split_once('=').filter(|pair| pair.0 == name));
            pair.and_then(|(_, value)| value.parse::<u64>().ok())
        };
        let body = match parameter("after") {
            Some(after) if after >= 1 => {
                sleep(Duration::from_millis(parameter("wait_ms").unwrap_or(0).min(60_000)));
                "{\"rev\":1,\"all\":false,\"targets\":[]}".to_string()
            }
            _ => full_list(),
        };
        let answer = response("200 OK", "Content-Type: application/json\r\n", &body);
        if peer.stream.write_all(&answer).is_err() {
            return;
        }
    }
}
