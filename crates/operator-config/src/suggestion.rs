//! Suggestions of known names for misspelt ones.

use std::fmt;

/// The edit distance that is always accepted, whatever the length of the known name.
const BASE_MAX_DISTANCE: usize = 2;
/// For long names the accepted edit distance is one per this many bytes of the known name.
const BYTES_PER_EDIT: usize = 4;
/// The number of characters of a misspelt name that are compared; the rest is ignored.
const MAX_COMPARED_CHARS: usize = 64;

/// A known name that may be meant by a misspelt one, if any is similar enough. Displayed as the end of a
/// message.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Suggestion(Option<String>);

impl Suggestion {
    /// Suggests the known name with the smallest edit distance to `name`, if that distance is accepted.
    pub(crate) fn nearest<'k>(name: &str, known: impl Iterator<Item = &'k str>) -> Self {
        let nearest = known.map(|known| (edit_distance(name, known), known)).min();
        let accepted = nearest.filter(|(distance, known)| {
            let max_distance = BASE_MAX_DISTANCE.max(known.len() / BYTES_PER_EDIT);
            *distance <= max_distance
        });
        Self(accepted.map(|(_, known)| known.to_owned()))
    }
}

impl fmt::Display for Suggestion {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match &self.0 {
            Some(name) => write!(f, "; did you mean '{name}'?"),
            None => Ok(()),
        }
    }
}

/// The Levenshtein distance, with only one row of its table in memory. `right` is compared in full.
fn edit_distance(left: &str, right: &str) -> usize {
    let right: Vec<char> = right.chars().collect();
    let mut row: Vec<usize> = (0..=right.len()).collect();
    for (i, a) in left.chars().take(MAX_COMPARED_CHARS).enumerate() {
        let mut diagonal = std::mem::replace(&mut row[0], i + 1);
        for (j, b) in right.iter().enumerate() {
            let substituted = diagonal + usize::from(a != *b);
            diagonal = row[j + 1];
            let inserted = row[j] + 1;
            let deleted = diagonal + 1;
            row[j + 1] = substituted.min(inserted).min(deleted);
        }
    }
    row[right.len()]
}
