//! A breadth-first search over the states of small cells, made of the real [`Lease`], for two runs of one
//! unrepeatable key: lists that lag, lost and late answers, freezes, restarts with empty memory and stale
//! lists, and a caller that sends the key to anyone at any time.
//!
//! With all guards in force the search must end without a double run. With any one of them out it must find
//! one: the promise rests on each.

#![allow(
    clippy::unwrap_used,
    clippy::panic,
    clippy::print_stdout,
    reason = "a proof stops where it fails, and says what it covered"
)]

mod support;

use Move::*;
use barleyspool_core::*;
use quickcheck::{Gen, QuickCheck};
use rand::SeedableRng;
use rand::rngs::SmallRng;
use rand::seq::IndexedRandom;
use std::collections::{HashSet, VecDeque};
use support::fleet;

/// A search that grows beyond this has been set up wrongly.
const MOST_STATES: usize = 4_000_000;

/// One unit of time. Clocks in the model are exact, so the skew is zero.
const UNIT: Span = Span(1);

fn rules() -> LeaseRules {
    LeaseRules {
        freshness: Span(2),
        horizon: Span(2),
        skew: Span(0),
    }
}

/// A question that was asked and whose answer has been given but not heard, or not even given.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Pending {
    from: u32,
    to: u32,
    requested_at: Time,
    vote: Option<LeaseVote>,
}

/// A node: its lease, and whether it remembers the key.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Node {
    id: u32,
    lease: Lease,
    remembers: bool,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct State {
    now: Time,
    nodes: Vec<Node>,
    /// The deadline of the key, once it ran for the first time. That an earlier send was refused could only
    /// bring it nearer.
    deadline: Option<Time>,
    runs: u8,
    pending: Option<Pending>,
    exchanges: u8,
    asks: u8,
    restarts: u8,
    replaced: bool,
}

/// What a search may do.
#[derive(Clone, Debug)]
struct Model {
    /// The eras of the list, and how many of them a node may know at first.
    eras: Vec<(u64, Vec<u32>)>,
    guards: Guards,
    /// The key, chosen so that its home moves as the scenario wants.
    key: RequestKey,
    /// Who may ask whom while the search goes on; before it everybody has heard everybody.
    pairs: Vec<(u32, u32)>,
    exchanges: u8,
    /// How many of the exchanges may take time.
    asks: u8,
    restarts: u8,
    /// The node that may be replaced by a new run while the old one goes on, cut off or asleep.
    replace: Option<u32>,
    /// For how long the search goes on.
    ticks: u64,
}

/// What happens in one move of the search.
#[derive(Copy, Clone, Debug)]
enum Move {
    Tick,
    Exchange(u32, u32),
    Ask(u32, u32),
    Give,
    Hear,
    List(u32),
    Restart(u32),
    Replace(u32),
    Send(u32),
}

impl Model {
    fn list(&self, upto: usize) -> Cell {
        let eras: Vec<(u64, &[u32])> = self.eras[..upto]
            .iter()
            .map(|(epoch, ids)| (*epoch, ids.as_slice()))
            .collect();
        fleet(upto as u64, &eras).cells.remove(0)
    }

    fn nodes(&self) -> u32 {
        self.eras.iter().flat_map(|(_, ids)| ids).max().copied().unwrap()
    }

    fn fresh(&self, id: u32, incarnation: u64) -> Lease {
        Lease::new(rules(), NodeId(id), Incarnation(incarnation)).with_guards(self.guards)
    }

    /// All nodes know the first list and have settled; nobody has sent the key.
    fn start(&self) -> State {
        let at = Time(100);
        let first = &self.eras[0].1;
        let mut nodes: Vec<Node> = (1..=self.nodes())
            .map(|id| Node {
                id,
                lease: self.fresh(id, 1),
                remembers: false,
            })
            .collect();
        for id in first {
            nodes[*id as usize - 1].lease.apply_cell(at, &self.list(1));
        }
        let mut state = State {
            now: at,
            nodes,
            deadline: None,
            runs: 0,
            pending: None,
            exchanges: 0,
            asks: 0,
            restarts: 0,
            replaced: false,
        };
        let everybody = |state: &mut State| {
            for a in first {
                for b in first.iter().filter(|b| *b != a) {
                    exchange(state, *a, *b);
                }
            }
        };
        // Twice, since the word of a node counts only once it has heard others; again when settled.
        everybody(&mut state);
        everybody(&mut state);
        state.now = at + rules().takeover_wait();
        everybody(&mut state);
        state
    }

    fn moves(&self, state: &State) -> Vec<Move> {
        let mut moves = Vec::new();
        if state.deadline.is_some_and(|deadline| state.now >= deadline) {
            // Nobody takes the key any more.
            return moves;
        }
        if state.now < Time(100) + rules().takeover_wait() + Span(self.ticks) {
            moves.push(Tick);
        }
        if let Some(a) = self.replace.filter(|_| !state.replaced) {
            moves.push(Replace(a));
        }
        for a in 1..=state.nodes.len() as u32 {
            moves.push(Send(a));
            let known = state.nodes[a as usize - 1].lease.epoch();
            if self.eras.iter().any(|(epoch, _)| Epoch(*epoch) > known) {
                moves.push(List(a));
            }
            if state.restarts < self.restarts {
                moves.push(Restart(a));
            }
        }
        let alive = |pair: &&(u32, u32)| pair.0 as usize <= state.nodes.len();
        let pairs = self.pairs.iter().filter(alive);
        if state.exchanges < self.exchanges {
            moves.extend(pairs.clone().map(|(a, b)| Exchange(*a, *b)));
            if state.pending.is_none() && state.asks < self.asks {
                moves.extend(pairs.map(|(a, b)| Ask(*a, *b)));
            }
        }
        match &state.pending {
            Some(Pending { vote: None, .. }) => moves.push(Give),
            Some(Pending { vote: Some(_), .. }) => moves.push(Hear),
            None => {}
        }
        moves
    }

    fn apply(&self, state: &State, step: &Move) -> Option<State> {
        let mut next = state.clone();
        match step {
            Tick => next.now = next.now + UNIT,
            Exchange(a, b) => {
                next.exchanges += 1;
                exchange(&mut next, *a, *b);
            }
            Ask(a, b) => {
                next.exchanges += 1;
                next.asks += 1;
                next.pending = Some(Pending {
                    from: *a,
                    to: *b,
                    requested_at: next.now,
                    vote: None,
                });
            }
            Give => {
                let mut pending = next.pending.take()?;
                let from = &next.nodes[pending.from as usize - 1];
                let (id, run) = (NodeId(from.id), from.lease.incarnation());
                let lease = &mut next.nodes[pending.to as usize - 1].lease;
                pending.vote = Some(lease.vote_for(id, run));
                next.pending = Some(pending);
            }
            Hear => {
                let pending = next.pending.take()?;
                let (now, vote) = (next.now, pending.vote?);
                let lease = &mut next.nodes[pending.from as usize - 1].lease;
                lease.apply_vote(now, NodeId(pending.to), pending.requested_at, vote);
            }

            List(a) => {
                let lease = &mut next.nodes[*a as usize - 1].lease;
                let upto = self
                    .eras
                    .iter()
                    .position(|(epoch, _)| Epoch(*epoch) > lease.epoch())?
                    + 1;
                let now = next.now;
                lease.apply_cell(now, &self.list(upto));
            }
            Restart(a) => {
                next.restarts += 1;
                let old = next.nodes[*a as usize - 1].lease.incarnation();
                let mut lease = self.fresh(*a, old.0 + 1);
                // It starts with the oldest list there is: the service may be stale.
                lease.apply_cell(next.now, &self.list(1));
                next.nodes[*a as usize - 1] = Node {
                    id: *a,
                    lease,
                    remembers: false,
                };
                // A process that has died hears nothing any more.
                if next.pending.as_ref().is_some_and(|pending| pending.from == *a) {
                    next.pending = None;
                }
            }
            Replace(a) => {
                next.replaced = true;
                let old = next.nodes[*a as usize - 1].lease.incarnation();
                let mut lease = self.fresh(*a, old.0 + 1);
                lease.apply_cell(next.now, &self.list(1));
                next.nodes.push(Node {
                    id: *a,
                    lease,
                    remembers: false,
                });
            }
            Send(a) => {
                let deadline = next.deadline.unwrap_or(next.now + rules().horizon);
                let node = &mut next.nodes[*a as usize - 1];
                let taken = next.now < deadline
                    && !node.remembers
                    && node.lease.view().check(next.now, self.key).is_ok();
                if !taken {
                    return None;
                }
                node.remembers = true;
                next.deadline = Some(deadline);
                next.runs += 1;
            }
        }
        Some(next)
    }

    /// Searches breadth first; gives the number of states, and the moves to a double run if there is one.
    fn search(&self) -> (usize, Option<Vec<String>>) {
        let mut seen: HashSet<u128> = HashSet::new();
        let mut parents: Vec<(usize, Move)> = vec![(0, Tick)];
        let mut queue = VecDeque::from([(0_usize, self.start())]);
        while let Some((at, state)) = queue.pop_front() {
            for step in self.moves(&state) {
                let Some(next) = self.apply(&state, &step) else {
                    continue;
                };
                if !seen.insert(digest(&next)) {
                    continue;
                }
                parents.push((at, step));
                let count = parents.len() - 1;
                assert!(count < MOST_STATES, "the search is larger than planned");
                if next.runs > 1 {
                    return (count, Some(trace(&parents, count)));
                }
                queue.push_back((count, next));
            }
        }
        (parents.len(), None)
    }

    /// Moves at random for a long time; gives the moves to a double run if there is one.
    fn walk(&self, random: &mut SmallRng, length: usize) -> Option<Vec<Move>> {
        let mut state = self.start();
        let mut taken = Vec::new();
        for _ in 0..length {
            let moves = self.moves(&state);
            let step = *moves.choose(random)?;
            if let Some(next) = self.apply(&state, &step) {
                state = next;
                taken.push(step);
            }
            if state.runs > 1 {
                return Some(taken);
            }
        }
        None
    }
}

/// A question and its answer in one moment, between the processes at these places.
fn exchange(state: &mut State, a: u32, b: u32) {
    let asker = &state.nodes[a as usize - 1];
    let (id, run) = (NodeId(asker.id), asker.lease.incarnation());
    let vote = state.nodes[b as usize - 1].lease.vote_for(id, run);
    let (now, asked) = (state.now, NodeId(state.nodes[b as usize - 1].id));
    state.nodes[a as usize - 1]
        .lease
        .apply_vote(now, asked, now, vote);
}

/// Two hashes of a state, so that the seen states need little memory.
fn digest(state: &State) -> u128 {
    use std::hash::{DefaultHasher, Hash, Hasher};
    let half = |salt: u64| {
        let mut hasher = DefaultHasher::new();
        salt.hash(&mut hasher);
        state.hash(&mut hasher);
        u128::from(hasher.finish())
    };
    half(1) << 64 | half(2)
}

fn trace(parents: &[(usize, Move)], mut at: usize) -> Vec<String> {
    let mut steps = Vec::new();
    while at != 0 {
        let (parent, step) = parents[at];
        steps.push(format!("{step:?}"));
        at = parent;
    }
    steps.reverse();
    steps
}

/// A key whose homes in these sets are the given nodes.
fn key(homes: &[(&[u32], u32)]) -> RequestKey {
    let home = |key: RequestKey, ids: &[u32]| {
        Era {
            epoch: Epoch(1),
            members: ids.iter().map(|id| NodeId(*id)).collect(),
        }
        .home(key)
    };
    (0..10_000)
        .map(|nth| RequestKey::new("model", &nth.to_string()))
        .find(|key| {
            homes
                .iter()
                .all(|(ids, wanted)| home(*key, ids) == Some(NodeId(*wanted)))
        })
        .unwrap()
}

// ----------------------------------------------------------------------------
// Scenarios

/// Node 1, the home, is taken off the list and does not hear of it at once; node 2 succeeds.
fn removed(guards: Guards) -> Model {
    Model {
        eras: vec![(1, vec![1, 2, 3]), (2, vec![2, 3])],
        guards,
        key: key(&[(&[1, 2, 3], 1), (&[2, 3], 2)]),
        pairs: vec![(1, 2), (1, 3), (2, 3)],
        exchanges: 4,
        asks: 1,
        restarts: 0,
        replace: None,
        ticks: 5,
    }
}

/// A node joins and becomes the home; the old home stays in the set and hears of it late.
fn joined(guards: Guards) -> Model {
    Model {
        eras: vec![(1, vec![1, 2, 3]), (2, vec![1, 2, 3, 4])],
        guards,
        key: key(&[(&[1, 2, 3], 1), (&[1, 2, 3, 4], 4)]),
        pairs: vec![(1, 2), (4, 1), (4, 2), (4, 3)],
        exchanges: 3,
        asks: 0,
        restarts: 0,
        replace: None,
        ticks: 5,
    }
}

/// The home, or a node whose word counts, restarts with nothing but the oldest list.
fn restarted(guards: Guards) -> Model {
    Model {
        eras: vec![(1, vec![1, 2, 3, 4]), (2, vec![2, 3, 4])],
        guards,
        key: key(&[(&[1, 2, 3, 4], 1), (&[2, 3, 4], 2)]),
        pairs: vec![(1, 3), (1, 4), (2, 3), (2, 4)],
        exchanges: 3,
        asks: 0,
        restarts: 1,
        replace: None,
        ticks: 4,
    }
}

/// The set changes twice before anybody hears of it: the middle era was never anybody's.
fn skipped(guards: Guards) -> Model {
    Model {
        eras: vec![(1, vec![1, 2, 3]), (2, vec![3, 4]), (3, vec![4])],
        guards,
        key: key(&[(&[1, 2, 3], 1), (&[3, 4], 4), (&[4], 4)]),
        pairs: vec![(1, 2), (4, 2), (4, 3)],
        exchanges: 3,
        asks: 0,
        restarts: 0,
        replace: None,
        ticks: 5,
    }
}

/// The home is replaced under its own number while the old process goes on, and both ask for words.
fn replaced(guards: Guards) -> Model {
    Model {
        eras: vec![(1, vec![1, 2, 3])],
        guards,
        key: key(&[(&[1, 2, 3], 1)]),
        pairs: vec![(1, 2), (1, 3), (4, 2), (4, 3)],
        exchanges: 6,
        asks: 0,
        restarts: 0,
        replace: Some(1),
        ticks: 5,
    }
}

/// The same set, only restarts: the home forgets, and its own silence has to be long enough.
fn same_set(guards: Guards) -> Model {
    Model {
        eras: vec![(1, vec![1, 2, 3])],
        guards,
        key: key(&[(&[1, 2, 3], 1)]),
        pairs: vec![(1, 2), (1, 3), (2, 3)],
        exchanges: 3,
        asks: 0,
        restarts: 1,
        replace: None,
        ticks: 6,
    }
}

type Scenario = fn(Guards) -> Model;
const SCENARIOS: [(&str, Scenario); 6] = [
    ("replaced", replaced),
    ("removed", removed),
    ("joined", joined),
    ("restarted", restarted),
    ("skipped", skipped),
    ("same set", same_set),
];

fn holds(name: &str, scenario: Scenario) {
    let (states, found) = scenario(Guards::default()).search();
    println!("lease model, {name}: {states} states");
    assert!(states > 1000, "the search is too small to mean anything");
    assert_eq!(found, None, "two runs of one key");
}

#[test]
fn a_home_taken_off_the_list_and_its_successor_run_a_key_once() {
    holds("removed", removed);
}

#[test]
fn a_home_and_a_new_node_run_a_key_once() {
    holds("joined", joined);
}

#[test]
fn restarts_with_a_stale_list_run_a_key_once() {
    holds("restarted", restarted);
}

#[test]
fn a_set_that_nobody_heard_of_is_not_passed_over() {
    holds("skipped", skipped);
}

#[test]
fn a_home_that_restarts_runs_a_key_once() {
    holds("same set", same_set);
}

#[test]
fn a_home_and_its_replacement_under_the_same_number_run_a_key_once() {
    holds("replaced", replaced);
}

/// Walks at random through one scenario with every pair of nodes, many exchanges and restarts.
///
/// Restarts beside a node that was replaced under its own number are left out: docs/PROOFS.md lists that as
/// not proved.
fn walk(scenario: Scenario, guards: Guards, seed: u64) -> Option<Vec<Move>> {
    let mut model = scenario(guards);
    let nodes = model.nodes();
    let pairs = (1..=nodes + 1).flat_map(|a| (1..=nodes).map(move |b| (a, b)));
    model.pairs = pairs.filter(|(a, b)| a != b).collect();
    model.restarts = if model.replace.is_some() { 0 } else { 2 };
    (model.exchanges, model.asks, model.ticks) = (60, 20, 30);
    model.walk(&mut SmallRng::seed_from_u64(seed), 120)
}

#[test]
fn random_walks_run_a_key_once() {
    fn property(seed: u64) -> bool {
        SCENARIOS.iter().all(|(name, scenario)| {
            let found = walk(*scenario, Guards::default(), seed);
            assert!(found.is_none(), "{name}, seed {seed}: {found:?}");
            true
        })
    }
    // The same seeds on every run, so that the verdict is the same; another number gives others.
    let first = std::env::var("BARLEYSPOOL_SEED")
        .ok()
        .and_then(|seed| seed.parse().ok())
        .unwrap_or(1);
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(100, first))
        .tests(3000)
        .quickcheck(property as fn(u64) -> bool);
    println!(
        "lease model: 3000 seeds of random walks over {} scenarios",
        SCENARIOS.len()
    );
}

/// The walks go deep enough to meet a double run when a guard is out.
#[test]
fn random_walks_find_a_guard_missing() {
    for guard in [Guard::VoteFresh, Guard::TakeoverWait, Guard::NoSelfVote] {
        let mut seeds = (0..20_000).flat_map(|seed| SCENARIOS.iter().map(move |scenario| (seed, scenario.1)));
        let found = seeds.find(|(seed, scenario)| walk(*scenario, Guards::without(guard), *seed).is_some());
        println!(
            "without {guard:?}: a walk finds it with seed {:?}",
            found.map(|(seed, _)| seed)
        );
        assert!(found.is_some(), "without {guard:?} no walk meets a double run");
    }
}

// ----------------------------------------------------------------------------
// Each guard, taken out

/// Plays `moves`, passing over those that are not possible; gives how often the key ran.
fn play(model: &Model, moves: &[Move]) -> u8 {
    let mut state = model.start();
    for step in moves {
        if let Some(next) = model.apply(&state, step) {
            state = next;
        }
    }
    state.runs
}

/// The moves are harmless with all guards in force, and lead to a double run without `guard`.
fn is_needed(guard: Guard, scenario: Scenario, moves: &[Move]) {
    let with = play(&scenario(Guards::default()), moves);
    let without = play(&scenario(Guards::without(guard)), moves);
    println!("{guard:?}: {with} runs with it, {without} without: {moves:?}");
    assert!(with <= 1, "two runs with all guards in force");
    assert_eq!(without, 2, "the model does not show that the guard is needed");
}

const SETTLE: [Move; 4] = [Tick; 4];

#[test]
fn the_model_needs_fresh_words() {
    let begin = [List(2), List(3), Exchange(2, 3)];
    let moves = [&begin[..], &SETTLE, &[Send(1), Exchange(2, 3), Send(2)]].concat();
    is_needed(Guard::VoteFresh, removed, &moves);
}

#[test]
fn the_model_needs_words_at_the_same_epoch() {
    let begin = [List(2), List(3), Exchange(2, 3)];
    let end = [Exchange(1, 2), Exchange(1, 3), Send(1), Exchange(2, 3), Send(2)];
    is_needed(Guard::VoteEpoch, removed, &[&begin[..], &SETTLE, &end].concat());
}

#[test]
fn the_model_needs_earlier_eras_to_be_left() {
    let begin = [List(4), List(4), List(4)];
    let end = [Exchange(1, 2), Exchange(1, 3), Send(1), Send(4)];
    is_needed(
        Guard::EarlierEpochsClosed,
        skipped,
        &[&begin[..], &SETTLE, &end].concat(),
    );
}

#[test]
fn the_model_needs_settling() {
    is_needed(
        Guard::TakeoverWait,
        removed,
        &[List(2), List(3), Exchange(2, 3), Send(1), Send(2)],
    );
}

/// Found by the search: the home takes the key on the last word it was given, and its deadline lies a
/// horizon after that, not after the majority left.
#[test]
fn the_model_needs_the_freshness_in_the_settling_time() {
    let moves = [
        List(2),
        List(3),
        Exchange(2, 3),
        Tick,
        Send(1),
        Tick,
        Exchange(2, 3),
        Send(2),
    ];
    is_needed(Guard::TakeoverFreshness, removed, &moves);
}

#[test]
fn the_model_needs_words_for_the_newest_run_only() {
    let begin = [Replace(1), Exchange(4, 2), Exchange(4, 3)];
    let end = [
        Exchange(1, 2),
        Exchange(1, 3),
        Send(1),
        Exchange(4, 2),
        Exchange(4, 3),
        Send(4),
    ];
    is_needed(
        Guard::VoteIncarnation,
        replaced,
        &[&begin[..], &SETTLE, &end].concat(),
    );
}

/// Found by the search: an old run and a new one each counted itself, and each found one other node.
#[test]
fn the_model_needs_a_node_not_to_confirm_itself() {
    let begin = [Replace(1), Exchange(4, 2)];
    let end = [Exchange(1, 3), Send(1), Exchange(4, 2), Send(4)];
    is_needed(Guard::NoSelfVote, replaced, &[&begin[..], &SETTLE, &end].concat());
}

#[test]
fn the_model_needs_nodes_to_catch_up_before_they_speak() {
    let begin = [List(2), List(3), List(4), Exchange(2, 3), Exchange(2, 4)];
    let middle = [Exchange(2, 3), Exchange(2, 4), Send(2), Restart(3), Restart(4)];
    let end = [Exchange(1, 3), Exchange(1, 4), Send(1)];
    let moves = [&begin[..], &SETTLE, &middle, &end].concat();
    is_needed(Guard::VoteJoined, restarted, &moves);
}
