//! Rendezvous hashing: all nodes with the same member list pick the same member for a key, and a change of the
//! list moves only the keys of the members that were added or removed.

/// The hash of `member` for `key`; the member with the highest one is picked.
fn weight(key: u128, member: u64) -> u64 {
    let mixed = mix((key as u64) ^ mix(member.wrapping_add(0x9e37_79b9_7f4a_7c15)));
    mix(mixed ^ (key >> 64) as u64)
}

/// A hash finaliser: every input bit affects all output bits.
fn mix(mut x: u64) -> u64 {
    x ^= x >> 30;
    x = x.wrapping_mul(0xbf58_476d_1ce4_e5b9);
    x ^= x >> 27;
    x = x.wrapping_mul(0x94d0_49bb_1331_11eb);
    x ^ (x >> 31)
}

/// Picks the member with the highest hash for `key`; `None` if there are no members.
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

/// A hash of `key` and `member`, uniformly distributed in the open interval from 0 to 1.
pub fn uniform(key: u128, member: u64) -> f64 {
    (weight(key, member) as f64 + 1.0) / (u64::MAX as f64 + 2.0)
}

/// Picks a member for `key` with a probability proportional to its weight; `None` if no weight is positive.
///
/// A change of one weight moves only keys from or to its member.
pub fn pick_weighted(key: u128, members: impl IntoIterator<Item = (u64, f64)>) -> Option<u64> {
    let score = |(member, share): (u64, f64)| (share / -uniform(key, member).ln(), member);
    let scored = members.into_iter().filter(|(_, share)| *share > 0.0).map(score);
    scored
        .max_by(|one, other| one.0.total_cmp(&other.0))
        .map(|(_, member)| member)
}

/// Preference value of `member` for `key`: ascending order ranks the members, best first.
pub fn order(key: u128, member: u64) -> u64 {
    u64::MAX - weight(key, member)
}

/// All members in the order of their preference for `key`, best first.
pub fn rank(key: u128, members: impl IntoIterator<Item = u64>) -> Vec<u64> {
    let mut ranked: Vec<u64> = members.into_iter().collect();
    ranked.sort_by_key(|&member| std::cmp::Reverse((weight(key, member), member)));
    ranked
}

/// Hashes a short text, such as a name, to a 128-bit key.
pub fn text_key(text: &str) -> u128 {
    let mut bytes = [0; 16];
    blake3::Hasher::new()
        .update(text.as_bytes())
        .finalize_xof()
        .fill(&mut bytes);
    u128::from_le_bytes(bytes)
}

/// Hashes a list of texts to a 64-bit key. Lists that differ in any part, or in where the parts are divided, have different
/// keys.
pub fn parts_key(parts: &[&[u8]]) -> u64 {
    let mut hasher = blake3::Hasher::new();
    for part in parts {
        hasher.update(&(part.len() as u64).to_le_bytes()).update(part);
    }
    let mut bytes = [0; 8];
    hasher.finalize_xof().fill(&mut bytes);
    u64::from_le_bytes(bytes)
}
