//! What of a stream of events is relayed, however its bytes arrive.

use barleyspool_gateway::RelayProgress;
use bytes::Bytes;
use quickcheck::quickcheck;

/// An event of a random stream: its number, whether it has one, and its text.
type Event = (u64, bool, String);

/// The text of a stream, and its events, whose numbers rise.
fn stream(events: &[Event], ends: &[u8]) -> (Vec<u8>, Vec<Vec<u8>>) {
    let mut ends = ends.iter().cycle();
    let mut end = || match ends.next().map_or(0, |end| end % 3) {
        0 => "\n",
        1 => "\r\n",
        _ => "\r",
    };
    let mut number = 0;
    let mut parts = Vec::new();
    for (step, numbered, text) in events {
        let text = text.replace(['\r', '\n'], "");
        number += 1 + step % 5;
        // All line ends of an event are alike: a CR before an LF would be one line end instead of two.
        let end = end();
        let id = if *numbered {
            format!("id: {number}{end}")
        } else {
            String::new()
        };
        parts.push(format!("{id}data: {text}{end}: {text}{end}{end}").into_bytes());
    }
    (parts.concat(), parts)
}

/// Relays a stream in parts of these sizes; returns what was relayed after each.
fn relay(progress: &mut RelayProgress, bytes: &[u8], sizes: &[u8], resumable: bool) -> Vec<Vec<u8>> {
    let mut sizes = sizes.iter().cycle();
    let mut rest = bytes;
    let mut outputs = Vec::new();
    while !rest.is_empty() {
        let size = sizes
            .next()
            .map_or(1, |size| 1 + usize::from(*size) % 40)
            .min(rest.len());
        let output = progress.next_output(Bytes::copy_from_slice(&rest[..size]), resumable);
        outputs.push(output.map(|output| output.to_vec()).unwrap_or_default());
        rest = &rest[size..];
    }
    outputs
}

quickcheck! {
    fn a_sound_stream_is_relayed_byte_for_byte(events: Vec<Event>, ends: Vec<u8>, sizes: Vec<u8>, resumable: bool) -> bool {
        let (bytes, _) = stream(&events, &ends);
        let mut progress = RelayProgress::default();
        let relayed = relay(&mut progress, &bytes, &sizes, resumable).concat();
        // The last event of lines with CR LF waits for the LF, and a CR alone ends it only if no LF can follow.
        let whole = relayed == bytes && progress.is_between_events() != events.is_empty();
        whole && !progress.is_spoiled()
    }

    fn what_was_relayed_always_ends_with_a_whole_event(events: Vec<Event>, ends: Vec<u8>, sizes: Vec<u8>) -> bool {
        let (bytes, parts) = stream(&events, &ends);
        let mut boundaries = vec![0];
        for part in &parts {
            boundaries.push(boundaries[boundaries.len() - 1] + part.len());
        }
        let mut relayed = 0;
        relay(&mut RelayProgress::default(), &bytes, &sizes, false).iter().all(|output| {
            relayed += output.len();
            // Between CR and LF, the empty line is complete for readers of either.
            boundaries.contains(&relayed) || bytes.get(relayed) == Some(&b'\n')
        })
    }

    fn events_that_were_relayed_are_not_relayed_again(events: Vec<Event>, from: usize, sizes: Vec<u8>) -> bool {
        let events: Vec<Event> = events.into_iter().map(|(step, _, text)| (step, true, text)).collect();
        let (_, parts) = stream(&events, &[]);
        let from = from % (parts.len() + 1);
        let mut progress = RelayProgress::default();
        relay(&mut progress, &parts[..from].concat(), &sizes, true);
        progress.drop_incomplete();
        // The next target begins with the first event.
        relay(&mut progress, &parts.concat(), &sizes, true).concat() == parts[from..].concat()
    }
}

/// Guards against a stream that may not go on elsewhere whose events reach the caller twice.
#[test]
fn an_event_that_comes_again_spoils_a_stream_that_may_not_be_resumed() {
    let mut progress = RelayProgress::default();
    let event = |number: u32| Bytes::from(format!("id: {number}\ndata: x\n\n"));
    for number in [3, 4] {
        assert_eq!(progress.next_output(event(number), false), Some(event(number)));
    }
    let joined = [event(5), event(4), event(6)].concat();
    assert_eq!(progress.next_output(Bytes::from(joined), false), Some(event(5)));
    assert!(progress.is_spoiled());
    assert_eq!(progress.next_output(event(7), false), None);
}

/// Guards against events whose number is not found behind the mark with which a stream may begin.
#[test]
fn the_number_of_the_first_event_is_found_behind_a_byte_order_mark() {
    let mut progress = RelayProgress::default();
    progress.next_output(Bytes::from_static(b"\xef\xbb\xbfid: 7\r\ndata: x\r\n\r\n"), true);
    assert_eq!(progress.event, Some(7));
}
