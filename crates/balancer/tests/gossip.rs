//! Messages between instances: bytes, and that they change what is known.

mod common;
use common::*;
use mintshelf_balancer::api::*;
use mintshelf_balancer::gossip::GossipMessage;

#[test]
fn evidence_survives_its_bytes() {
    // Server numbers use all 32 bits; a shorter field once lost every one.
    let told = GossipMessage {
        weight: 0.5,
        tenants: vec![12.5, 0.0],
        servers: vec![(u32::MAX, 1.0, 2.0), (7, -0.5, 1.0)],
    };
    let bytes = told.encode();
    assert!(bytes.len() <= 256);
    assert_eq!(GossipMessage::decode(&bytes), Some(told));
}

#[test]
fn a_message_never_outgrows_the_transport() {
    let told = GossipMessage {
        weight: 1.0,
        tenants: vec![1.0; 200],
        servers: (0..500).map(|id| (id, 0.0, 1.0)).collect(),
    };
    assert!(told.encode().len() <= 256);
    assert_eq!(GossipMessage::decode(&told.encode()).unwrap().tenants.len(), 62);
}

#[test]
fn malformed_messages_are_dropped() {
    let good = GossipMessage { servers: vec![(1, 0.5, 1.0)], ..GossipMessage::default() }.encode();
    assert!(GossipMessage::decode(&good).is_some());
    assert!(GossipMessage::decode(&[]).is_none());
    assert!(GossipMessage::decode(&good[..good.len() - 1]).is_none());
    assert!(GossipMessage::decode(&[9, 0, 0, 0, 0, 0]).is_none());
    assert!(GossipMessage::decode(&[1, 1, 0, 0, 0, 0, 0, 0]).is_none());
    let nan = [&[1, 0], &f32::NAN.to_le_bytes()[..]].concat();
    assert!(GossipMessage::decode(&nan).is_none());
}

/// Danger: a trickle over many servers shows no instance which of them is slow.
#[test]
fn a_peer_tells_which_server_is_slow() {
    let mut rig = Rig::with(Settings { has_peers: true, ..settings() }, 1..=4);
    let told = GossipMessage { weight: 1.0, tenants: vec![], servers: vec![(2, 60.0, 30.0)] };
    let (from, payload) = (9, told.encode());
    rig.feed(S, Event::Gossip { from, payload });
    let mut to_slow = 0;
    for i in 0..400 {
        let now = 2 * S + i * MS;
        let id = format!("a{i}");
        let to = sends(&rig.feed(now, request(&id, 0, 2 * S)))[0];
        to_slow += i32::from(to == 2);
        rig.feed(now, ended(&id, 0, to, Outcome::Ok, true));
    }
    assert!(to_slow < 40, "{to_slow} of 400 went to a server that a peer found slow");
}

/// What is given to a peer is halved, or evidence would grow as it goes round.
#[test]
fn an_instance_tells_one_peer_a_second_at_most_and_never_itself() {
    let mut rig = Rig::with(Settings { has_peers: true, ..settings() }, 1..=4);
    let mut told = Vec::new();
    for i in 0..100 {
        let now = S + i * 100 * MS;
        let out = rig.feed(now, request(&format!("a{i}"), 0, 2 * S));
        for to in sends(&out) {
            rig.feed(now, ended(&format!("a{i}"), 0, to, Outcome::Ok, true));
        }
        told.extend(out.into_iter().filter_map(|action| match action {
            Action::SendGossip { peer, payload } => Some((peer, payload)),
            _ => None,
        }));
    }
    assert!((8..=10).contains(&told.len()), "{} messages in 10 s", told.len());
    let weights = told.iter().map(|(peer, payload)| {
        assert!(peer.is_some_and(|p| p != 3 && p < 20));
        GossipMessage::decode(payload).unwrap().weight
    });
    let weights: Vec<f64> = weights.collect();
    assert!(weights.windows(2).all(|w| w[1] < w[0] / 2.0 + 0.06), "{weights:?}");
    // Danger: with no peer heard, a weight that only halves makes little traffic look like much.
    assert!(weights.iter().all(|w| (0.03..0.2).contains(w)), "{weights:?}");
}
