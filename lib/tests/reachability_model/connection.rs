//! Connections to runners, direct and through a peer.

use crate::site::{Answers, Link, Site, Timeline};

/// An established connection from a node to a runner.
#[derive(Clone, Copy, Debug)]
pub struct Connection {
    pub runner: usize,
    /// The number of the runner at its address.
    pub generation: u32,
    /// The peer that forwards it, and the number of its process.
    pub peer: Option<(usize, u32)>,
    pub established: usize,
    pub idle_since: usize,
}

impl Connection {
    /// Whether the node has seen the connection end.
    pub fn is_broken(&self, node: usize, site: &Site, now: usize) -> bool {
        let runner = site.runners[self.runner].at(now);
        if runner.generation != self.generation || runner.answers == Answers::Refuses {
            return true;
        }
        let was_reset =
            |node: usize| site.links[node][self.runner].was(Link::Reset, self.established, now);
        match self.peer {
            None => was_reset(node),
            Some((peer, process)) => site.nodes[peer].at(now) != Some(process) || was_reset(peer),
        }
    }

    /// The links on the way to the address of the runner.
    fn links<'a>(&self, node: usize, site: &'a Site) -> [&'a Timeline<Link>; 2] {
        match self.peer {
            None => [&site.peer_links[node][node], &site.links[node][self.runner]],
            Some((peer, _)) => [&site.peer_links[node][peer], &site.links[peer][self.runner]],
        }
    }

    /// Since when nothing passes in one direction; `None` if it does.
    pub fn dead_since(&self, node: usize, site: &Site, now: usize) -> Option<usize> {
        let is_dead =
            |link: &&Timeline<Link>| !link.at(now).passes_forward() || !link.at(now).passes_back();
        let dead = self.links(node, site).into_iter().filter(is_dead);
        dead.map(|link| link.since(now)).min()
    }

    pub fn passes_forward(&self, node: usize, site: &Site, now: usize) -> bool {
        site.runners[self.runner].at(now).answers == Answers::Accepts
            && self.links(node, site).into_iter().all(|link| link.at(now).passes_forward())
    }

    pub fn passes_back(&self, node: usize, site: &Site, now: usize) -> bool {
        site.runners[self.runner].at(now).answers == Answers::Accepts
            && self.links(node, site).into_iter().all(|link| link.at(now).passes_back())
    }

    /// Whether nothing on the way changes between two ticks.
    pub fn is_stable(&self, node: usize, site: &Site, from: usize, to: usize) -> bool {
        let is_peer_stable = self.peer.is_none_or(|(peer, _)| site.nodes[peer].is_stable(from, to));
        is_peer_stable
            && self.links(node, site).into_iter().all(|link| link.is_stable(from, to))
            && site.runners[self.runner].is_stable(from, to)
    }
}
