//! The networks in which endpoints may lie. Addresses are matched by longest prefix.

use ipnet::{IpNet, Ipv4Net, Ipv6Net};
use prefix_trie::PrefixMap;
use std::net::IpAddr;
use std::sync::Arc;

/// The networks in which endpoints may lie, each with the zone of its endpoints if that is known.
#[derive(Clone, Debug, Default)]
pub struct Networks {
    v4: PrefixMap<Ipv4Net, Option<Arc<str>>>,
    v6: PrefixMap<Ipv6Net, Option<Arc<str>>>,
}

/// The result of a lookup: the smallest network that contains an address.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct NetworkMatch {
    /// The zone of the network, if known.
    pub zone: Option<Arc<str>>,
}

impl Networks {
    /// Adds a network. Returns false, and keeps the existing entry, if the network has already been added.
    pub fn add(&mut self, network: IpNet, zone: Option<Arc<str>>) -> bool {
        match network.trunc() {
            IpNet::V4(net) => !self.v4.contains_key(&net) && self.v4.insert(net, zone).is_none(),
            IpNet::V6(net) => !self.v6.contains_key(&net) && self.v6.insert(net, zone).is_none(),
        }
    }

    /// Finds the smallest network that contains `address`; `None` if no network does. An IPv4-mapped IPv6
    /// address is looked up as the IPv4 address.
    #[must_use]
    pub fn find(&self, address: IpAddr) -> Option<NetworkMatch> {
        let zone = match address.to_canonical() {
            IpAddr::V4(address) => self.v4.get_lpm(&address.into()).map(|(_, zone)| zone),
            IpAddr::V6(address) => self.v6.get_lpm(&address.into()).map(|(_, zone)| zone),
        };
        zone.map(|zone| NetworkMatch { zone: zone.clone() })
    }
}
