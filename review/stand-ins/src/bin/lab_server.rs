//! `lab_server ADDRESS RECORD NAME full|works MS`: a bench node of the lab. A full one turns every
//! request away, which it says with `X-Turned-Away: 1`. A working one runs each request for so long
//! and then answers 200; the record has each run, from the request's last byte on.

use review_stand_ins::{argument, number, record, response, Peer};
use std::net::{TcpListener, TcpStream};
use std::thread::{sleep, spawn};
use std::time::Duration;

fn main() {
    let listener = TcpListener::bind(argument(1)).expect("the address is free");
    for stream in listener.incoming().flatten() {
        spawn(move || serve(stream));
    }
}

fn serve(stream: TcpStream) {
    let (file, name) = (argument(2), argument(3));
    let mut peer = Peer::new(stream);
    while let Ok(Some(request)) = peer.read() {
        let order = request.header("x-order").unwrap_or("-").to_string();
        let answer = if argument(4) == "full" {
            response("503 Service Unavailable", "X-Turned-Away: 1\r\n", "queue full\n")
        } else {
            record(&file, &format!("runs {order} at {name}"));
            sleep(Duration::from_millis(number(5)));
            response("200 OK", "", &format!("{order} done\n"))
        };
        if std::io::Write::write_all(&mut peer.stream, &answer).is_err() {
            return;
        }
    }
}
