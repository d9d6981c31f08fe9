//! Rendezvous hashing: every node that knows the same list picks the same winner, and a change of the
//! list moves only the keys of the members that came or went.

/// The weight of `member` for `key`; the highest wins.
fn weight(key: u128, member: u64) -> u64 {
    let mixed = mix((key as u64) ^ mix(member.wrapping_add(0x9e37_79b9_7f4a_7c15)));
    mix(mixed ^ (key >> 64) as u64)
}

/// A finaliser that spreads every input bit over the whole word.
fn mix(mut x: u64) -> u64 {
    x ^= x >> 30;
    x = x.wrapping_mul(0xbf58_476d_1ce4_e5b9);
    x ^= x >> 27;
    x = x.wrapping_mul(0x94d0_49bb_1331_11eb);
    x ^ (x >> 31)
}

/// Picks the member that wins `key`; `None` when there are none.
///
/// ```
/// use barleyspool_core::rendezvous;
/// let home = rendezvous::pick(7, [1, 2, 3]);
/// assert_eq!(home, rendezvous::pick(7, [3, 2, 1]));
/// ```
pub fn pick(key: u128, members: impl IntoIterator<Item = u64>) -> Option<u64> {
    members
        .into_iter()
        .max_by_key(|&member| (weight(key, member), member))
}

/// A number between 0 and 1, neither of them, spread evenly over keys.
pub fn even(key: u128, member: u64) -> f64 {
    (weight(key, member) as f64 + 1.0) / (u64::MAX as f64 + 2.0)
}

/// Picks the member that wins `key`, each as often as its weight says; `None` when none has any. A change of one weight moves
/// only keys from or to its member.
pub fn pick_weighted(key: u128, members: impl IntoIterator<Item = (u64, f64)>) -> Option<u64> {
    let score = |(member, share): (u64, f64)| (share / -even(key, member).ln(), member);
    let scored = members.into_iter().filter(|(_, share)| *share > 0.0).map(score);
    scored
        .max_by(|one, other| one.0.total_cmp(&other.0))
        .map(|(_, member)| member)
}

/// Where `member` stands for `key`: the lower, the better. Sorting by it ranks members.
pub fn place(key: u128, member: u64) -> u64 {
    u64::MAX - weight(key, member)
}

/// All members, best first.
pub fn rank(key: u128, members: impl IntoIterator<Item = u64>) -> Vec<u64> {
    let mut ranked: Vec<u64> = members.into_iter().collect();
    ranked.sort_by_key(|&member| std::cmp::Reverse((weight(key, member), member)));
    ranked
}

/// A 128-bit key for a short text, for hashing names that are not request keys.
pub fn text_key(text: &str) -> u128 {
    let mut bytes = [0; 16];
    blake3::Hasher::new()
        .update(text.as_bytes())
        .finalize_xof()
        .fill(&mut bytes);
    u128::from_le_bytes(bytes)
}
