//! Comparison of secrets.

/// Whether two texts are equal, in a time that depends on their lengths alone.
pub(super) fn equal(a: &str, b: &str) -> bool {
    let (a, b) = (a.as_bytes(), b.as_bytes());
    if a.len() != b.len() {
        return false;
    }
    let differences = a.iter().zip(b).fold(0, |sum, (x, y)| sum | (x ^ y));
    std::hint::black_box(differences) == 0
}
