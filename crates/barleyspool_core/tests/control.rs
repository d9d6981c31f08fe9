//! Configuration, leaving targets, starts and planned stops, on one control state; two or three are joined
//! directly where the promise is about two nodes.
#![allow(clippy::unwrap_used, clippy::panic, reason = "a proof stops where it fails")]

mod support;

use barleyspool_core::*;
use std::sync::Arc;
use support::*;

fn settings(id: u32, guards: Guards) -> ControlSettings {
    ControlSettings {
        node: NodeId(id),
        incarnation: Incarnation(1),
        zone: format!("z{}", id % 3),
        region: "r".into(),
        address: format!("10.0.0.{id}:1"),
        bulk_address: format!("10.0.0.{id}:3"),
        guards,
        seed: u64::from(id),
        ..ControlSettings::default()
    }
}

/// A control state with what it wanted done since it was last looked at.
struct Node {
    control: Control,
    plan: Option<Plan>,
    asks: usize,
    fetches: Vec<(Revision, Revision)>,
    exited: bool,
    reads: usize,
    watching: bool,
}

impl Node {
    fn new(id: u32, guards: Guards) -> Self {
        let control = Control::new(settings(id, guards), START).unwrap();
        Self {
            control,
            plan: None,
            asks: 0,
            fetches: Vec::new(),
            exited: false,
            reads: 0,
            watching: false,
        }
    }

    fn step(&mut self, now: Time, event: ControlEvent) {
        for action in self.control.step(now, event) {
            match action {
                ControlAction::SendGossip { .. } => self.asks += 1,
                ControlAction::FetchSnapshot { config, fleet, .. } => self.fetches.push((config, fleet)),
                ControlAction::Watch(watching) => self.watching = watching,
                ControlAction::ReadPlatform => self.reads += 1,
                ControlAction::Publish(plan) => self.plan = Some(*plan),
                ControlAction::Exit => self.exited = true,
            }
        }
    }

    fn read(&mut self, now: Time, document: ConfigDocument) {
        self.step(
            now,
            ControlEvent::ConfigRead {
                document: Box::new(document),
            },
        );
    }

    fn list(&mut self, now: Time, fleet: Fleet) {
        self.step(
            now,
            ControlEvent::FleetRead {
                fleet: Box::new(fleet),
            },
        );
    }

    fn serving(&self) -> bool {
        self.control.phase() == NodePhase::Serving
    }

    fn leaving(&self, id: u32) -> bool {
        let plan = self.plan.as_ref().unwrap();
        plan.targets
            .iter()
            .find(|target| target.id == TargetId(id))
            .unwrap()
            .leaving
    }
}

/// `a` asks `b`, and fetches from it if it wants to.
fn ask(now: Time, a: &mut Node, b: &mut Node) {
    let question = question(now, a);
    let reply = b.control.answer_gossip(now, &question);
    a.step(
        now,
        ControlEvent::PeerReplied {
            asked_at: now,
            reply: Box::new(reply),
        },
    );
    for (config, fleet) in std::mem::take(&mut a.fetches) {
        let snapshot = b.control.snapshot(config, fleet);
        a.step(
            now,
            ControlEvent::SnapshotReceived {
                snapshot: Box::new(snapshot),
            },
        );
    }
}

/// What a node says of itself when it asks.
fn question(now: Time, node: &mut Node) -> Gossip {
    node.control
        .answer_gossip(
            now,
            &Gossip {
                from: NodeId(999),
                ..Gossip::default()
            },
        )
        .gossip
}

fn three() -> Fleet {
    with_targets(fleet(1, &[(1, &[1, 2, 3])]), 3, 4)
}

/// A node that has list and configuration, has heard its peers and serves.
fn ready(id: u32, guards: Guards) -> Node {
    let mut node = Node::new(id, guards);
    node.list(START, three());
    node.read(START, document(5));
    for peer in [1, 2, 3].into_iter().filter(|peer| *peer != id) {
        let mut peer = Node::new(peer, guards);
        peer.list(START, three());
        peer.read(START, document(5));
        ask(START, &mut node, &mut peer);
    }
    assert!(node.serving());
    node
}

// ----------------------------------------------------------------------------
// Configuration

#[test]
fn a_revision_only_moves_up() {
    let outcome = |guards| {
        let mut node = ready(1, guards);
        node.read(START, document(4));
        node.read(START, document(3));
        node.control.revision()
    };
    assert_eq!(
        outcome(Guards::without(Guard::RevisionMonotonic)),
        Revision(3),
        "without the guard it goes back"
    );
    assert_eq!(outcome(Guards::default()), Revision(5));
}

#[test]
fn a_bad_configuration_between_good_ones_changes_nothing() {
    let mut bad = document(6);
    bad.head.pipelines[0].stages[0].service = "nowhere".into();
    bad.head.pipelines[1].deadline_ms = 0;
    let outcome = |guards| {
        let mut node = ready(1, guards);
        node.read(START, bad.clone());
        let between = node.control.revision();
        node.read(START, document(7));
        (between, node.control.revision())
    };
    assert_eq!(
        outcome(Guards::without(Guard::ConfigAllOrNothing)).0,
        Revision(6),
        "without the guard it is taken"
    );
    assert_eq!(outcome(Guards::default()), (Revision(5), Revision(7)));

    let faults = Config::from_document(&bad, None).unwrap_err();
    let texts: Vec<String> = faults.iter().map(ToString::to_string).collect();
    assert_eq!(texts.len(), 2, "both faults are reported: {texts:?}");
    assert!(
        texts
            .iter()
            .any(|text| text.contains("pipelines[0].stages[0].service") && text.contains("nowhere"))
    );
    assert!(
        texts
            .iter()
            .any(|text| text.contains("pipelines[1].deadline_ms") && text.contains("1 to 600000 ms"))
    );
}

/// Two operators publish at once, one of them something faulty; in whatever order a node hears of it, it
/// ends where all others end.
#[test]
fn all_nodes_end_at_the_same_revision_whatever_they_hear_first() {
    let mut bad = document(8);
    bad.head.classes.clear();
    let documents = [document(6), document(7), bad, document(9)];
    for order in [[0, 1, 2, 3], [3, 2, 1, 0], [2, 0, 3, 1], [1, 3, 0, 2]] {
        let mut node = ready(1, Guards::default());
        for at in order {
            node.read(START, documents[at].clone());
        }
        assert_eq!(node.control.revision(), Revision(9), "order {order:?}");
    }
}

/// A node starts while the service is stale; its peers know better.
#[test]
fn a_node_that_starts_with_a_stale_service_asks_its_peers_first() {
    let served_under = |guards| {
        let (mut node, mut peer) = (Node::new(1, guards), ready(2, Guards::default()));
        let mut lowest = None;
        node.list(START, three());
        node.read(START, document(2));
        node.step(START + ms(10), ControlEvent::Tick);
        if node.serving() {
            lowest = Some(node.control.revision());
        }
        ask(START + ms(20), &mut node, &mut peer);
        node.step(START + ms(4000), ControlEvent::Tick);
        assert!(node.serving());
        lowest.unwrap_or_else(|| node.control.revision())
    };
    assert_eq!(
        served_under(Guards::without(Guard::PeersBeforeServing)),
        Revision(2),
        "without the guard it serves an old one"
    );
    assert_eq!(served_under(Guards::default()), Revision(5));
}

#[test]
fn a_node_without_peers_waits_a_bounded_time_and_counts_it() {
    let mut node = Node::new(1, Guards::default());
    node.list(START, three());
    node.read(START, document(2));
    node.step(START + ms(2900), ControlEvent::Tick);
    assert!(!node.serving());
    node.step(START + ms(3000), ControlEvent::Tick);
    assert!(node.serving());
    assert_eq!(node.control.counters().starts_without_peers, 1);
}

/// A change reaches a node that does not read the service, with only the part that changed.
#[test]
fn a_change_spreads_by_peers_with_only_what_changed() {
    let (mut a, mut b) = (ready(1, Guards::default()), ready(2, Guards::default()));
    let mut change = document(6);
    change.head.parts.push(PartRef {
        key: "organisations/1".into(),
        revision: Revision(6),
    });
    let part = ConfigPart {
        organisations: vec![organisation("new", 3)],
    };
    change.parts.push(VersionedPart {
        key: "organisations/1".into(),
        revision: Revision(6),
        part: Arc::new(part),
    });
    b.read(START, change);
    let sent = b.control.snapshot(Revision(5), Revision(1)).document.unwrap();
    assert_eq!(sent.parts.len(), 1, "only the new part is sent");
    ask(START + ms(1), &mut a, &mut b);
    assert_eq!(a.control.revision(), Revision(6));
    let config = a.control.store().config().unwrap();
    assert!(config.organisation("new").is_some() && config.organisation("small").is_some());
}

/// A document that lacks a part the node does not have either is not accepted, and nothing is lost.
#[test]
fn a_document_with_a_missing_part_is_not_accepted() {
    let mut node = ready(1, Guards::default());
    let mut change = document(6);
    change.head.parts[0].revision = Revision(6);
    let snapshot = Snapshot {
        document: Some(change.changes_since(Revision(5))),
        fleet: None,
    };
    node.step(
        START,
        ControlEvent::SnapshotReceived {
            snapshot: Box::new(snapshot),
        },
    );
    assert_eq!(node.control.revision(), Revision(5));
}

#[test]
fn a_long_outage_of_the_service_changes_nothing() {
    let mut node = ready(1, Guards::default());
    for minute in 0..120 {
        let now = START + Span::from_secs(minute * 60);
        node.step(now, ControlEvent::ConfigFailed);
        let plan = node.plan.as_ref().unwrap();
        assert!(
            plan.fresh(now, ms(100)),
            "the plan is vouched for without the service"
        );
        assert_eq!(node.control.revision(), Revision(5));
    }
}

/// Few nodes of a zone read the platform, however many there are.
#[test]
fn readers_do_not_grow_with_the_fleet() {
    for size in [9_u32, 40, 200] {
        let ids: Vec<u32> = (1..=size).collect();
        let list = fleet(1, &[(1, &ids)]);
        let readers = ids.iter().filter(|id| {
            let mut node = Node::new(**id, Guards::default());
            node.list(START, list.clone());
            node.watching
        });
        assert_eq!(readers.count(), 6, "two in each of three zones, of {size} nodes");
    }
}

/// A node that starts waits a moment for its peers before it reads the platform; found when nine nodes that
/// started together each read at once.
#[test]
fn a_starting_node_gives_its_peers_a_moment_before_it_reads() {
    let mut at_once = 0;
    for id in 1..=40 {
        let mut node = Node::new(id, Guards::default());
        node.step(START + ms(90), ControlEvent::Tick);
        at_once += usize::from(node.reads > 0 || node.watching);
        node.step(START + ms(2100), ControlEvent::Tick);
        assert!(node.watching, "with no peer to tell it, it reads for itself");
    }
    assert_eq!(at_once, 0);
}

/// When nobody has read for long, nodes read for themselves, spread out and seldom.
#[test]
fn a_node_reads_for_itself_when_nobody_has() {
    let ids: Vec<u32> = (1..=40).collect();
    let mut node = (1..=40)
        .map(|id| {
            let mut node = Node::new(id, Guards::default());
            node.list(START, fleet(1, &[(1, &ids)]));
            node
        })
        .find(|node| !node.watching)
        .unwrap();
    for second in 0..60 {
        node.step(START + Span::from_secs(second), ControlEvent::Tick);
    }
    // One read per read age at the most, the first within it.
    let most = 60_000 / ControlSettings::default().max_read_age.as_millis() as usize + 1;
    assert!(
        (1..=most).contains(&node.reads),
        "{} reads in a minute",
        node.reads
    );
}

#[test]
fn a_faulty_list_is_refused_whole() {
    let mut node = ready(1, Guards::default());
    let mut list = fleet(9, &[(7, &[1, 2]), (5, &[1])]);
    list.targets.clear();
    node.list(START, list);
    assert_eq!(node.control.fleet().revision, Revision(1));
    assert_eq!(node.control.counters().invalid_fleet_lists, 1);
}

// ----------------------------------------------------------------------------
// Leaving targets

/// What one node learns from a target's own word, others learn from it, before any list says so.
#[test]
fn the_word_of_a_leaving_target_spreads_to_peers() {
    let knows = |guards| {
        let (mut a, mut b) = (ready(1, guards), ready(2, guards));
        let told = LeavingTarget {
            target: TargetId(1),
            incarnation: Incarnation(1),
        };
        b.step(START, ControlEvent::ReportedLeaving(told));
        assert!(b.leaving(1));
        ask(START + ms(500), &mut a, &mut b);
        a.leaving(1)
    };
    assert!(
        !knows(Guards::without(Guard::LeavingGossip)),
        "without the guard nobody is told"
    );
    assert!(knows(Guards::default()));
}

#[test]
fn leaving_is_forgotten_when_a_newer_run_is_listed_and_not_before() {
    let mut node = ready(1, Guards::default());
    node.step(
        START,
        ControlEvent::ReportedLeaving(LeavingTarget {
            target: TargetId(1),
            incarnation: Incarnation(1),
        }),
    );
    let mut list = three();
    list.revision = Revision(2);
    node.list(START, list.clone());
    assert!(
        node.leaving(1),
        "a lagging list that shows it live does not bring it back"
    );
    list.revision = Revision(3);
    list.targets
        .iter_mut()
        .find(|target| target.id == TargetId(1))
        .unwrap()
        .incarnation = Incarnation(2);
    node.list(START, list);
    assert!(!node.leaving(1));
}

#[test]
fn a_list_that_says_leaving_is_heard() {
    let mut node = ready(1, Guards::default());
    let mut list = three();
    list.revision = Revision(2);
    list.targets
        .iter_mut()
        .find(|target| target.id == TargetId(2))
        .unwrap()
        .state = ListState::Leaving;
    node.list(START, list);
    assert!(node.leaving(2) && !node.leaving(1));
}

// ----------------------------------------------------------------------------
// The planned stop

#[test]
fn a_stopping_node_stays_until_nothing_runs_and_no_caller_holds_its_address() {
    let left_at = |guards| {
        let mut node = ready(1, guards);
        node.step(START, ControlEvent::LiveRequests(3));
        node.step(START, ControlEvent::Stop);
        let mut at = START;
        while !node.exited {
            at = at + ms(100);
            let live = usize::from(at < START + ms(7000));
            // A second signal, and a cut from all peers, change nothing.
            node.step(at, ControlEvent::Stop);
            node.step(at, ControlEvent::LiveRequests(live));
        }
        at.since(START)
    };
    assert!(
        left_at(Guards::without(Guard::DrainBeforeStop)) < ms(7000),
        "without the guard it cuts off what runs"
    );
    assert_eq!(left_at(Guards::default()), ms(7000));
}

#[test]
fn a_stopping_node_tells_callers_and_peers_and_names_others() {
    let (mut a, mut b) = (ready(1, Guards::default()), ready(2, Guards::default()));
    b.step(START, ControlEvent::Stop);
    let named = |node: &Node| -> Vec<NodeId> {
        let plan = node.plan.as_ref().unwrap();
        plan.addresses("z1", None, 7).iter().map(|peer| peer.id).collect()
    };
    assert!(
        !named(&b).contains(&NodeId(2)),
        "it does not name itself any more"
    );
    ask(START + ms(500), &mut a, &mut b);
    a.step(START + ms(501), ControlEvent::Tick);
    a.step(START + ms(1100), ControlEvent::Tick);
    assert!(!named(&a).contains(&NodeId(2)), "nor do its peers name it");
    assert!(named(&a).contains(&NodeId(1)));
}

/// Nodes with other lease rules do not vouch for each other.
#[test]
fn words_between_nodes_with_other_rules_do_not_count() {
    let mut node = ready(1, Guards::default());
    let rules = LeaseRules {
        horizon: ms(1),
        ..LeaseRules::default()
    };
    let gossip = Gossip {
        from: NodeId(2),
        rules,
        ..Gossip::default()
    };
    assert_eq!(
        node.control.answer_gossip(START, &gossip).vote,
        LeaseVote::default()
    );
    assert!(node.control.counters().mismatched_rules > 0);
}
