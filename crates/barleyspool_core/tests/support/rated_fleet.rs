//! Fleets of nodes before targets that take so many calls a second, without a network: each node knows the nodes of its own part.

#![allow(dead_code, reason = "each test file uses a part of it")]

use barleyspool_core::{
    Catalog, CatalogDocument, ChooseResult, ColdSpec, ForwardPlan, ForwardService, ForwardSettings,
    Forwarder, Grant, LimitReport, MemberView, Reachability, Shard, Span, TargetEntry, TargetQuery,
    TargetTable, Time, rendezvous, service_targets, shard_key,
};
use std::collections::BTreeMap;
use std::sync::Arc;

/// Targets before which each fleet stands.
pub const ENGINES: usize = 24;
const SHARD_SIZE: usize = 12;

/// What bounds the targets of a fleet.
#[derive(Copy, Clone, Debug)]
pub enum Rates {
    /// Nothing.
    None,
    /// They are cold, bear so many calls a second, and for so long.
    Cold(f64, Span),
    /// They named a limit of so many calls a second.
    Limit(f64),
}

pub fn members(count: usize) -> Vec<MemberView> {
    let view = |place: usize| MemberView {
        key: rendezvous::text_key(&format!("n{place}")) as u64,
        peer_address: format!("n{place}"),
        zone: "z".to_owned(),
    };
    (0..count).map(view).collect()
}

/// A list of which every target is as empty as the others, so that those with a rate would be chosen as well as any.
fn table(rates: &Rates) -> TargetTable {
    let entry = |place: usize| {
        let mut entry = TargetEntry {
            id: format!("i-{place}"),
            service: "s".to_owned(),
            address: format!("10.0.0.{place}:80"),
            zone: "z".to_owned(),
            slots: 64,
            ..TargetEntry::default()
        };
        if let Rates::Cold(_, lasts) = rates {
            entry.times.warm_at = Time(0) + *lasts;
        }
        entry
    };
    (0..ENGINES)
        .map(|place| (format!("i-{place}"), entry(place)))
        .collect()
}

fn catalog(rates: &Rates) -> Option<Arc<Catalog>> {
    let cold = match rates {
        Rates::Cold(per_s, start) => Some(ColdSpec {
            duration: *start,
            per_s: *per_s,
        }),
        _ => None,
    };
    let service = ForwardService {
        name: "s".to_owned(),
        cold,
        ..ForwardService::default()
    };
    let document = CatalogDocument {
        services: vec![service],
        ..CatalogDocument::default()
    };
    Catalog::build(document).ok().map(Arc::new)
}

fn plan(rates: &Rates, members: &[MemberView]) -> ForwardPlan {
    let targets = table(rates);
    ForwardPlan {
        catalog: catalog(rates),
        services: Arc::new(service_targets(&targets)),
        targets: Arc::new(targets),
        members: Arc::new(members.to_vec()),
        converged: true,
        ..ForwardPlan::default()
    }
}

/// The plan of the node among three that owns the targets.
pub fn owner_plan(rates: &Rates, converged: bool) -> ForwardPlan {
    let members = members(3);
    let owner = rendezvous::pick(shard_key("s", 0), members.iter().map(|member| member.key));
    ForwardPlan {
        converged,
        me: owner.expect("there are members"),
        ..plan(rates, &members)
    }
}

pub fn node(plan: &ForwardPlan, seed: u64) -> Forwarder {
    let settings = ForwardSettings {
        zone: "z".to_owned(),
        seed,
        ..ForwardSettings::default()
    };
    let mut forwarder = Forwarder::new(settings).expect("the chart is right");
    forwarder.apply_plan(plan);
    forwarder
}

/// A fleet of nodes, of which each knows the members of its own part.
pub struct Fleet {
    pub parts: Vec<Vec<MemberView>>,
    plans: BTreeMap<u64, ForwardPlan>,
    pub nodes: BTreeMap<u64, Forwarder>,
    /// When each target was sent something.
    pub sent: BTreeMap<String, Vec<Time>>,
    pub refused: usize,
    /// Nodes that do not answer.
    pub mute: Vec<u64>,
    /// How long calls may wait.
    pub max_wait: Span,
}

impl Fleet {
    pub fn new(count: usize, parts: usize, rates: &Rates) -> Self {
        let all = members(count);
        let size = count.div_ceil(parts);
        let parts: Vec<Vec<MemberView>> = all.chunks(size).map(<[MemberView]>::to_vec).collect();
        let mut fleet = Self {
            parts: Vec::new(),
            plans: BTreeMap::new(),
            nodes: BTreeMap::new(),
            sent: BTreeMap::new(),
            refused: 0,
            mute: Vec::new(),
            max_wait: Span::ZERO,
        };
        for part in &parts {
            for member in part {
                let plan = ForwardPlan {
                    me: member.key,
                    ..plan(rates, part)
                };
                let mut forwarder = node(&plan, member.key);
                if let Rates::Limit(per_s) = rates {
                    for place in 0..ENGINES {
                        let word = LimitReport::PerSecond(*per_s);
                        forwarder.apply_limit_report(Time(0), Time(0), &format!("i-{place}"), word);
                    }
                }
                fleet.nodes.insert(member.key, forwarder);
                fleet.plans.insert(member.key, plan);
            }
        }
        fleet.parts = parts;
        fleet
    }

    /// From now on the nodes of each part know how many of all they hear.
    pub fn know_reach(&mut self, now: Time, known: usize) {
        for part in self.parts.clone() {
            let reach = Reachability {
                reached: part.len() as u32,
                known: known as u32,
                steady: true,
            };
            self.change(now, &part, |plan| plan.reach = reach);
        }
    }

    /// From now on the nodes are in these parts.
    pub fn split(&mut self, now: Time, parts: Vec<Vec<MemberView>>) {
        for part in &parts {
            self.change(now, part, |plan| plan.members = Arc::new(part.clone()));
        }
        self.parts = parts;
    }

    /// Changes the plans of some nodes.
    pub fn change(&mut self, now: Time, nodes: &[MemberView], change: impl Fn(&mut ForwardPlan)) {
        for member in nodes {
            let plan = self.plans.get_mut(&member.key).expect("it is a node");
            plan.made = now;
            change(plan);
            let forwarder = self.nodes.get_mut(&member.key).expect("it is a node");
            forwarder.apply_plan(plan);
        }
    }

    /// The node that one asks about a shard: the owner as it sees it, of those that answer it.
    fn asked(&self, part: &[MemberView], shard: u128) -> u64 {
        let answer = |member: &&MemberView| !self.mute.contains(&member.key);
        let keys = part.iter().filter(answer).map(|member| member.key);
        rendezvous::pick(shard, keys).expect("somebody answers")
    }

    /// One call at an engine, of the node of that number: the owner of its shard chooses, as the node sees it.
    pub fn engine_call(&mut self, now: Time, number: u64) {
        let part = self.parts[number as usize % self.parts.len()].clone();
        let asker = part[(number / 2) as usize % part.len()].key;
        let shards = ENGINES / SHARD_SIZE;
        let shard = Shard {
            number: (number / 7) as u32 % shards as u32,
            of: shards as u32,
        };
        let owner = self.asked(&part, shard_key("s", shard.number));
        let need = TargetQuery {
            engine_memory: Some(600_000),
            // One prompt in four shares its beginning with all the others of these.
            prefix: if number.is_multiple_of(4) {
                77
            } else {
                1000 + number
            },
            prefix_tokens: 500,
            prompt_tokens: 1500,
            max_wait: self.max_wait,
            placing: Some(shard),
            ..need()
        };
        let forwarder = self.nodes.get_mut(&owner).expect("it is a node");
        let ChooseResult::Send(chosen) = forwarder.place(now, &need, asker) else {
            self.refused += 1;
            return;
        };
        let send = forwarder.begin(now, &need, chosen.target);
        // The books of the choice forget it at once, so that the target looks idle again.
        forwarder.abandon(send);
        self.sent.entry(chosen.id).or_default().push(now + chosen.wait);
    }

    /// One call at a plain target, of the node of that number.
    pub fn plain_call(&mut self, now: Time, number: u64) {
        let part = self.parts[number as usize % self.parts.len()].clone();
        let asker = part[(number / 2) as usize % part.len()].key;
        self.plain_call_of(now, &part, asker);
    }

    /// One call at a plain target, of a node of a part.
    pub fn plain_call_of(&mut self, now: Time, part: &[MemberView], asker: u64) {
        let need = TargetQuery {
            max_wait: self.max_wait,
            ..need()
        };
        // Each refusal takes one target out of the choice.
        for _ in 0..=ENGINES {
            let forwarder = self.nodes.get_mut(&asker).expect("it is a node");
            let ChooseResult::Send(chosen) = forwarder.choose(now, &need) else {
                break;
            };
            let wait = if chosen.rate_limited {
                let shard = forwarder.shard_of_target(&chosen.id).expect("it is listed");
                let owner = self.asked(part, shard);
                let owner = self.nodes.get_mut(&owner).expect("it is a node");
                match owner.grant(now, &chosen.id, asker, need.max_wait) {
                    Grant::After(wait) => wait,
                    Grant::NoCapacity(wait) => {
                        let forwarder = self.nodes.get_mut(&asker).expect("it is a node");
                        forwarder.note_no_capacity(now, chosen.target, now + wait);
                        continue;
                    }
                }
            } else {
                Span::ZERO
            };
            self.sent.entry(chosen.id).or_default().push(now + wait);
            return;
        }
        self.refused += 1;
    }

    /// The most that one target got within any `span`.
    pub fn most_within(&self, span: Span) -> usize {
        let windows = self.sent.values().map(|times| {
            let within = |at: &Time| {
                let window = times
                    .iter()
                    .filter(|time| **time >= *at && time.since(*at) < span);
                window.count()
            };
            times.iter().map(within).max().unwrap_or(0)
        });
        windows.max().unwrap_or(0)
    }

    /// What all targets got from `from` to `to`.
    pub fn got(&self, from: Time, to: Time) -> usize {
        let times = self.sent.values().flatten();
        times.filter(|at| **at >= from && **at < to).count()
    }
}

pub fn need() -> TargetQuery {
    TargetQuery {
        service: "s".to_owned(),
        ..TargetQuery::default()
    }
}
