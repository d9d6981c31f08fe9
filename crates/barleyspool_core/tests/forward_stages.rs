//! The graph of stages that run before a call is sent to its target.

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
fn a_stage_starts_when_its_inputs_are_complete_and_gets_all_of_them() {
    let mut run = StageProgress::new(&[spec(&[]), spec(&[]), spec(&[0, 1])], &[2, 1, 3]);
    assert_eq!(started(&mut run), [0, 1]);
    assert!(started(&mut run).is_empty(), "each stage is started once");
    run.complete(0, names("a", 2));
    assert!(started(&mut run).is_empty());
    run.complete(1, names("b", 1));
    let ready = run.start_ready();
    assert_eq!(ready[0].inputs, ["a0", "a1", "b0"]);
    assert_eq!(ready[0].pieces, 3);
    let releasable = run.complete(2, names("c", 3));
    assert_eq!(releasable, ["a0", "a1", "b0"], "no stage reads them any more");
    assert!(run.is_complete());
    assert_eq!(
        run.outputs(),
        ["c0", "c1", "c2"],
        "the call reads only the last stage"
    );
    assert_eq!(run.unreleased(), ["c0", "c1", "c2"]);
}

#[test]
fn a_stage_without_pieces_is_skipped() {
    let mut run = StageProgress::new(&[spec(&[]), spec(&[])], &[0, 1]);
    assert_eq!(started(&mut run), [1]);
    run.complete(1, names("b", 1));
    assert!(run.is_complete());
    assert_eq!(run.outputs(), ["b0"]);
    assert!(StageProgress::new(&[], &[]).is_complete());
}

#[test]
fn lost_results_are_recomputed_with_their_inputs_a_limited_number_of_times() {
    let mut run = StageProgress::new(&[spec(&[]), spec(&[0])], &[1, 1]);
    let complete_both = |run: &mut StageProgress| {
        assert_eq!(started(run), [0]);
        run.complete(0, names("a", 1));
        assert_eq!(started(run), [1]);
        run.complete(1, names("b", 1));
    };
    complete_both(&mut run);
    assert!(run.recompute(None), "the call found its inputs lost");
    complete_both(&mut run);
    assert!(run.recompute(Some(1)));
    complete_both(&mut run);
    assert!(!run.recompute(None));
}

#[test]
fn the_depth_after_a_stage_counts_only_the_stages_that_follow_it() {
    let run = StageProgress::new(&[spec(&[]), spec(&[]), spec(&[1]), spec(&[2])], &[1, 1, 1, 1]);
    let depths: Vec<usize> = (0..4).map(|stage| run.depth_after(stage)).collect();
    assert_eq!(depths, [0, 2, 1, 0]);
}

/// Guards against a waste of memory: large results that only the call reads were computed at once, and
/// filled the targets that held them while a longer chain was still running.
#[test]
fn a_stage_beside_a_longer_chain_waits_until_the_chain_has_as_few_stages_left() {
    let mut run = StageProgress::new(&[spec(&[]), spec(&[]), spec(&[1]), spec(&[2])], &[1, 1, 1, 1]);
    assert_eq!(
        started(&mut run),
        [1],
        "two stages follow the second one and none the first"
    );
    run.complete(1, names("b", 1));
    assert_eq!(started(&mut run), [2]);
    run.complete(2, names("c", 1));
    assert_eq!(started(&mut run), [0, 3], "both are now the last before the call");
    // Without the longer chain there is nothing to wait for.
    let mut alone = StageProgress::new(&[spec(&[]), spec(&[]), spec(&[1])], &[1, 0, 0]);
    assert_eq!(started(&mut alone), [0]);
}
