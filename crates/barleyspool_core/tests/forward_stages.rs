//! The graph of stages before a call.

use barleyspool_core::{StageProgress, StageSpec};

fn spec(needs: &[usize]) -> StageSpec {
    StageSpec {
        service: "pool".to_owned(),
        needs: needs.to_vec(),
        bytes: 10,
    }
}

fn names(prefix: &str, count: u32) -> Vec<String> {
    (0..count).map(|piece| format!("{prefix}{piece}")).collect()
}

fn started(run: &mut StageProgress) -> Vec<usize> {
    run.start_ready().into_iter().map(|ready| ready.stage).collect()
}

#[test]
fn a_stage_starts_when_what_it_needs_is_made_and_gets_every_piece() {
    let mut run = StageProgress::new(&[spec(&[]), spec(&[]), spec(&[0, 1])], &[2, 1, 3]);
    assert_eq!(started(&mut run), [0, 1]);
    assert!(started(&mut run).is_empty(), "each is started once");
    run.complete(0, names("a", 2));
    assert!(started(&mut run).is_empty());
    run.complete(1, names("b", 1));
    let ready = run.start_ready();
    assert_eq!(ready[0].inputs, ["a0", "a1", "b0"]);
    assert_eq!(ready[0].pieces, 3);
    let releasable = run.complete(2, names("c", 3));
    assert_eq!(releasable, ["a0", "a1", "b0"], "nobody reads them any more");
    assert!(run.is_complete());
    assert_eq!(
        run.outputs(),
        ["c0", "c1", "c2"],
        "the call reads the last stage only"
    );
    assert_eq!(run.unreleased(), ["c0", "c1", "c2"]);
}

#[test]
fn a_stage_without_pieces_is_left_out() {
    let mut run = StageProgress::new(&[spec(&[]), spec(&[])], &[0, 1]);
    assert_eq!(started(&mut run), [1]);
    run.complete(1, names("b", 1));
    assert!(run.is_complete());
    assert_eq!(run.outputs(), ["b0"]);
    assert!(StageProgress::new(&[], &[]).is_complete());
}

#[test]
fn results_that_are_gone_are_made_anew_with_all_they_rest_on_but_not_without_end() {
    let mut run = StageProgress::new(&[spec(&[]), spec(&[0])], &[1, 1]);
    let make_both = |run: &mut StageProgress| {
        assert_eq!(started(run), [0]);
        run.complete(0, names("a", 1));
        assert_eq!(started(run), [1]);
        run.complete(1, names("b", 1));
    };
    make_both(&mut run);
    assert!(run.recompute(None), "the call found its inputs gone");
    make_both(&mut run);
    assert!(run.recompute(Some(1)));
    make_both(&mut run);
    assert!(!run.recompute(None));
}

#[test]
fn the_depth_after_a_stage_counts_what_follows_it_only() {
    let run = StageProgress::new(&[spec(&[]), spec(&[]), spec(&[1]), spec(&[2])], &[1, 1, 1, 1]);
    let depths: Vec<usize> = (0..4).map(|stage| run.depth_after(stage)).collect();
    assert_eq!(depths, [0, 2, 1, 0]);
}

/// Large results that only the call reads were made at once and filled their makers while a longer chain went on.
#[test]
fn a_stage_beside_a_longer_chain_waits_until_as_little_follows_the_chain() {
    let mut run = StageProgress::new(&[spec(&[]), spec(&[]), spec(&[1]), spec(&[2])], &[1, 1, 1, 1]);
    assert_eq!(started(&mut run), [1], "two stages follow it, and none the first");
    run.complete(1, names("b", 1));
    assert_eq!(started(&mut run), [2]);
    run.complete(2, names("c", 1));
    assert_eq!(started(&mut run), [0, 3], "now both are the last before the call");
    // Without the chain there is nothing to wait for.
    let mut alone = StageProgress::new(&[spec(&[]), spec(&[]), spec(&[1])], &[1, 0, 0]);
    assert_eq!(started(&mut alone), [0]);
}
