//! Resolves the tenant of a request by the client's network, the listener or a header.

use ipnet::{IpNet, Ipv4Net, Ipv6Net};
use prefix_trie::PrefixMap;
use std::collections::HashMap;
use std::net::IpAddr;
use std::rc::Rc;

/// Name of the tenant of all requests that match no configured tenant.
pub const DEFAULT_TENANT: &str = "others";

/// Resolves requests to tenants.
///
/// ```
/// use mintshelf_admission::tenants::{TenantResolver, DEFAULT_TENANT};
///
/// let mut resolver = TenantResolver::new();
/// resolver.add_network("10.0.0.0/8".parse().unwrap(), &"inside".into());
/// let tenant = |address: &str| resolver.resolve(address.parse().unwrap(), "listener", None);
/// assert_eq!(&*tenant("10.1.2.3"), "inside");
/// assert_eq!(&*tenant("192.0.2.1"), DEFAULT_TENANT);
/// ```
#[derive(Debug, Clone)]
pub struct TenantResolver {
    ipv4_networks: PrefixMap<Ipv4Net, Rc<str>>,
    ipv6_networks: PrefixMap<Ipv6Net, Rc<str>>,
    listeners: HashMap<String, Rc<str>>,
    header_values: HashMap<String, Rc<str>>,
    default_tenant: Rc<str>,
}

impl Default for TenantResolver {
    fn default() -> Self {
        TenantResolver {
            ipv4_networks: PrefixMap::default(),
            ipv6_networks: PrefixMap::default(),
            listeners: HashMap::default(),
            header_values: HashMap::default(),
            default_tenant: DEFAULT_TENANT.into(),
        }
    }
}

impl TenantResolver {
    /// Creates a resolver without tenants.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Assigns the clients of a network to a tenant. If several networks contain an address, the
    /// longest prefix takes precedence.
    pub fn add_network(&mut self, network: IpNet, tenant: &Rc<str>) {
        match network.trunc() {
            IpNet::V4(network) => drop(self.ipv4_networks.insert(network, tenant.clone())),
            IpNet::V6(network) => drop(self.ipv6_networks.insert(network, tenant.clone())),
        }
    }

    /// Assigns the clients of a listener to a tenant.
    pub fn add_listener(&mut self, name: &str, tenant: &Rc<str>) {
        self.listeners.insert(name.to_string(), tenant.clone());
    }

    /// Assigns requests with this value of the tenant header to a tenant.
    pub fn add_header_value(&mut self, value: &str, tenant: &Rc<str>) {
        self.header_values.insert(value.to_string(), tenant.clone());
    }

    /// Returns the tenant of a request. The client's network takes precedence since it can't be
    /// forged, then the listener, then the value of the tenant header. A request that matches none
    /// of them belongs to [`DEFAULT_TENANT`].
    pub fn resolve(&self, client: IpAddr, listener: &str, header_value: Option<&str>) -> Rc<str> {
        self.by_network(client)
            .or_else(|| self.listeners.get(listener))
            .or_else(|| self.header_values.get(header_value?))
            .unwrap_or(&self.default_tenant)
            .clone()
    }

    fn by_network(&self, client: IpAddr) -> Option<&Rc<str>> {
        // On a dual-stack listener an IPv4 client has an IPv4-mapped address (RFC 4291, 2.5.5.2).
        match client.to_canonical() {
            IpAddr::V4(ip) => {
                let longest_prefix = self.ipv4_networks.get_lpm(&Ipv4Net::from(ip));
                longest_prefix.map(|(_, tenant)| tenant)
            }
            IpAddr::V6(ip) => {
                let longest_prefix = self.ipv6_networks.get_lpm(&Ipv6Net::from(ip));
                longest_prefix.map(|(_, tenant)| tenant)
            }
        }
    }
}

/// Returns whether two networks have an address in common.
#[must_use]
pub fn networks_overlap(left: &IpNet, right: &IpNet) -> bool {
    left.contains(right) || right.contains(left)
}
