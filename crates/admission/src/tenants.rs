//! Whose request it is: by the client's network, the listener, or a header.

use ipnet::{IpNet, Ipv4Net, Ipv6Net};
use prefix_trie::PrefixMap;
use std::collections::HashMap;
use std::net::IpAddr;
use std::rc::Rc;

/// The tenant of whoever is nobody else.
pub const OTHER_TENANTS: &str = "others";

/// How tenants are told.
#[derive(Debug, Clone, Default)]
pub struct Tenants {
    four: PrefixMap<Ipv4Net, Rc<str>>,
    six: PrefixMap<Ipv6Net, Rc<str>>,
    listeners: HashMap<String, Rc<str>>,
    values: HashMap<String, Rc<str>>,
    others: Option<Rc<str>>,
}

impl Tenants {
    /// None yet.
    pub fn new() -> Self {
        Tenants { others: Some(OTHER_TENANTS.into()), ..Tenants::default() }
    }

    /// Clients of a network are this tenant's. Of several that hold an address, the smallest
    /// counts.
    pub fn network(&mut self, network: IpNet, tenant: &Rc<str>) {
        match network.trunc() {
            IpNet::V4(network) => drop(self.four.insert(network, tenant.clone())),
            IpNet::V6(network) => drop(self.six.insert(network, tenant.clone())),
        }
    }

    /// Clients of a listener are.
    pub fn listener(&mut self, name: &str, tenant: &Rc<str>) {
        self.listeners.insert(name.to_string(), tenant.clone());
    }

    /// Requests with this value of the header are.
    pub fn value(&mut self, value: &str, tenant: &Rc<str>) {
        self.values.insert(value.to_string(), tenant.clone());
    }

    /// Whose a request is. Its network can't be forged and counts first, then its listener,
    /// then what its header says; else it is [`OTHER_TENANTS`]'.
    pub fn of(&self, client: IpAddr, listener: &str, header: Option<&str>) -> Rc<str> {
        // An IPv4 client of a listener for both comes with a mapped address (RFC 4291 2.5.5.2).
        let network = match client.to_canonical() {
            IpAddr::V4(ip) => self.four.get_lpm(&Ipv4Net::from(ip)).map(|(_, tenant)| tenant),
            IpAddr::V6(ip) => self.six.get_lpm(&Ipv6Net::from(ip)).map(|(_, tenant)| tenant),
        };
        let listener = || self.listeners.get(listener);
        let value = || self.values.get(header?);
        let named = network.or_else(listener).or_else(value).or(self.others.as_ref());
        named.cloned().unwrap_or_else(|| OTHER_TENANTS.into())
    }
}

/// Whether two networks share an address.
pub fn overlap(a: &IpNet, b: &IpNet) -> bool {
    a.contains(b) || b.contains(a)
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;
    use std::net::Ipv4Addr;

    fn net(text: &str) -> IpNet {
        text.parse().unwrap()
    }

    #[test]
    fn networks_come_first_and_the_longest_prefix_wins() {
        let [a, b, c, d] = ["a", "b", "c", "d"].map(Rc::<str>::from);
        let mut tenants = Tenants::new();
        tenants.network(net("10.0.0.0/8"), &a);
        tenants.network(net("10.1.0.0/16"), &b);
        tenants.network(net("2001:db8::/32"), &c);
        tenants.listener("inner", &d);
        tenants.value("key", &b);
        let of = |ip: &str, listener, header| tenants.of(ip.parse().unwrap(), listener, header);
        assert_eq!(&*of("10.2.0.1", "inner", Some("key")), "a");
        assert_eq!(&*of("10.1.2.3", "", None), "b");
        assert_eq!(&*of("::ffff:10.1.2.3", "", None), "b");
        assert_eq!(&*of("2001:db8::7", "inner", None), "c");
        assert_eq!(&*of("192.0.2.1", "inner", Some("key")), "d");
        assert_eq!(&*of("192.0.2.1", "", Some("key")), "b");
        assert_eq!(&*of("192.0.2.1", "", Some("other")), OTHER_TENANTS);
    }

    proptest! {
        #![proptest_config(ProptestConfig { cases: 500, failure_persistence: None,
            rng_seed: proptest::test_runner::RngSeed::Fixed(3), ..ProptestConfig::default() })]

        /// The table agrees with asking every network.
        #[test]
        fn the_table_agrees_with_a_plain_search(
            nets in prop::collection::vec((0u32..64, 0u8..=6), 1..12),
            ip in 0u32..64,
        ) {
            let mut tenants = Tenants::new();
            let mut all: Vec<(IpNet, Rc<str>)> = Vec::new();
            for (n, (bits, len)) in nets.into_iter().enumerate() {
                let address = Ipv4Addr::from(bits << 26);
                let network = IpNet::new(IpAddr::V4(address), len).unwrap().trunc();
                let name: Rc<str> = format!("t{n}").into();
                tenants.network(network, &name);
                all.retain(|(other, _)| *other != network);
                all.push((network, name));
            }
            let ip = IpAddr::V4(Ipv4Addr::from(ip << 26));
            let holding = all.iter().filter(|(network, _)| network.contains(&ip));
            let best = holding.max_by_key(|(network, _)| network.prefix_len());
            let expected = best.map_or(OTHER_TENANTS, |(_, name)| name);
            prop_assert_eq!(&*tenants.of(ip, "", None), expected);
        }
    }
}
