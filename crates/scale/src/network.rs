//! A simulated network of regions and zones: delays by distance, loss, duplicates, and cuts between sets of nodes. It knows
//! nothing of what it carries: it tells when a datagram arrives, and the caller puts the arrival into its queue.
//!
//! ```
//! use scale::network::{Conditions, Network, Topology};
//! use scale::queue::EventQueue;
//!
//! let topology = Topology::spread(4, &[0, 0, 1]); // Four nodes over three zones of two regions.
//! let mut network = Network::new(topology, Conditions::default(), 7);
//! let mut queue = EventQueue::new(0);
//! for at in network.arrivals(queue.now(), 0, 3) {
//!     queue.push(at, (3, "payload"));
//! }
//! assert_eq!(queue.pop().map(|(_, event)| event), Some((3, "payload")));
//! ```

use rand::Rng;
use rand_chacha::ChaCha8Rng;
use serde::{Deserialize, Serialize};

use crate::random::{Purpose, stream};
use crate::time::{MILLISECOND, Micros};

/// A node, by its number.
pub type NodeId = u32;
/// A zone, by its number.
pub type ZoneId = u16;
/// A region, by its number.
pub type RegionId = u16;

/// Which zone each node is in, and which region each zone is in.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Topology {
    zone_of_node: Vec<ZoneId>,
    region_of_zone: Vec<RegionId>,
}

impl Topology {
    /// Nodes that are spread evenly over zones, one after the other; each zone is given by its region. Without a zone, all
    /// are in one.
    pub fn spread(nodes: u32, region_of_zone: &[RegionId]) -> Self {
        let region_of_zone = if region_of_zone.is_empty() { vec![0] } else { region_of_zone.to_vec() };
        let zones = region_of_zone.len();
        let zone_of_node = (0..nodes as usize).map(|node| (node % zones) as ZoneId).collect();
        Topology { zone_of_node, region_of_zone }
    }

    /// Adds a node in that zone, and tells its number.
    pub fn add(&mut self, zone: ZoneId) -> NodeId {
        self.zone_of_node.push(zone);
        (self.zone_of_node.len() - 1) as NodeId
    }

    /// How many nodes there are.
    pub fn nodes(&self) -> u32 {
        self.zone_of_node.len() as u32
    }

    /// The zone of a node; that of one that is not known is the first.
    pub fn zone(&self, node: NodeId) -> ZoneId {
        self.zone_of_node.get(node as usize).copied().unwrap_or(0)
    }

    /// The region of a node.
    pub fn region(&self, node: NodeId) -> RegionId {
        self.region_of_zone.get(usize::from(self.zone(node))).copied().unwrap_or(0)
    }

    /// The zone of each node, by its number.
    pub fn zones(&self) -> &[ZoneId] {
        &self.zone_of_node
    }

    fn distance(&self, one: NodeId, other: NodeId) -> Distance {
        if self.zone(one) == self.zone(other) {
            Distance::SameZone
        } else if self.region(one) == self.region(other) {
            Distance::SameRegion
        } else {
            Distance::BetweenRegions
        }
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Distance {
    SameZone,
    SameRegion,
    BetweenRegions,
}

/// How the network carries datagrams, cuts aside. Delays are one way.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Conditions {
    /// Least delay within a zone, in microseconds.
    pub same_zone_us: Micros,
    /// Least delay between zones of a region, in microseconds.
    pub same_region_us: Micros,
    /// Least delay between regions, in microseconds.
    pub between_regions_us: Micros,
    /// Up to this part of the least delay comes on top, evenly distributed.
    pub jitter: f64,
    /// Part of datagrams that is lost, 0 to 1.
    pub loss: f64,
    /// Part of datagrams that arrives twice, 0 to 1.
    pub duplicates: f64,
}

impl Default for Conditions {
    fn default() -> Self {
        Conditions {
            same_zone_us: MILLISECOND / 4,
            same_region_us: MILLISECOND,
            between_regions_us: 40 * MILLISECOND,
            jitter: 0.25,
            loss: 0.0,
            duplicates: 0.0,
        }
    }
}

/// Some of the nodes.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum NodeSet {
    /// All of a zone.
    Zone(ZoneId),
    /// All of a region.
    Region(RegionId),
    /// These.
    Nodes(Vec<NodeId>),
}

impl NodeSet {
    fn has(&self, topology: &Topology, node: NodeId) -> bool {
        match self {
            NodeSet::Zone(zone) => topology.zone(node) == *zone,
            NodeSet::Region(region) => topology.region(node) == *region,
            NodeSet::Nodes(nodes) => nodes.contains(&node),
        }
    }
}

/// What a cut stops.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum CutKind {
    /// All datagrams between two sets, either way.
    Between(NodeSet, NodeSet),
    /// All datagrams between a set and all other nodes, either way; within the set they go on.
    Alone(NodeSet),
    /// All datagrams to and from a set, also within it.
    Dark(NodeSet),
    /// All datagrams from other nodes to a set; what the set sends arrives.
    Inbound(NodeSet),
}

/// Datagrams that are sent in a span do not arrive.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Cut {
    /// The first moment.
    pub from: Micros,
    /// The first moment after it.
    pub until: Micros,
    /// What is stopped.
    pub kind: CutKind,
}

impl Cut {
    fn stops(&self, topology: &Topology, now: Micros, from: NodeId, to: NodeId) -> bool {
        let has = |set: &NodeSet, node| set.has(topology, node);
        (self.from..self.until).contains(&now)
            && match &self.kind {
                CutKind::Between(one, other) => {
                    has(one, from) && has(other, to) || has(other, from) && has(one, to)
                }
                CutKind::Alone(set) => has(set, from) != has(set, to),
                CutKind::Dark(set) => has(set, from) || has(set, to),
                CutKind::Inbound(set) => !has(set, from) && has(set, to),
            }
    }
}

/// When a datagram arrives: never, once or twice.
pub type Arrivals = std::iter::Flatten<std::array::IntoIter<Option<Micros>, 2>>;

/// The network.
#[derive(Clone, Debug)]
pub struct Network {
    topology: Topology,
    conditions: Conditions,
    cuts: Vec<Cut>,
    random: ChaCha8Rng,
}

impl Network {
    /// A network without cuts.
    pub fn new(topology: Topology, conditions: Conditions, seed: u64) -> Self {
        Network { topology, conditions, cuts: Vec::new(), random: stream(seed, Purpose::Network) }
    }

    /// Adds a cut.
    pub fn cut(&mut self, cut: Cut) {
        self.cuts.push(cut);
    }

    /// Who is where.
    pub fn topology(&self) -> &Topology {
        &self.topology
    }

    /// When a datagram arrives that is sent now.
    pub fn arrivals(&mut self, now: Micros, from: NodeId, to: NodeId) -> Arrivals {
        let stopped = self.cuts.iter().any(|cut| cut.stops(&self.topology, now, from, to));
        let lost = self.happens(self.conditions.loss);
        let doubled = self.happens(self.conditions.duplicates);
        let first = (!stopped && !lost).then(|| now + self.delay(from, to));
        let second = (first.is_some() && doubled).then(|| now + self.delay(from, to));
        [first, second].into_iter().flatten()
    }

    /// Whether one node reaches another now, loss aside.
    pub fn reaches(&self, now: Micros, from: NodeId, to: NodeId) -> bool {
        !self.cuts.iter().any(|cut| cut.stops(&self.topology, now, from, to))
    }

    fn happens(&mut self, chance: f64) -> bool {
        chance > 0.0 && self.random.random::<f64>() < chance
    }

    fn delay(&mut self, from: NodeId, to: NodeId) -> Micros {
        let least = match self.topology.distance(from, to) {
            Distance::SameZone => self.conditions.same_zone_us,
            Distance::SameRegion => self.conditions.same_region_us,
            Distance::BetweenRegions => self.conditions.between_regions_us,
        };
        let most = (least as f64 * self.conditions.jitter) as Micros;
        least + self.random.random_range(0..=most.max(0))
    }
}
