//! Suggestions for misspelt names.

use std::fmt;

/// A distance up to this is near, whatever the name's length.
const MAX_DISTANCE: usize = 2;
/// So many characters of a known name allow for a distance of one more.
const CHARS_PER_EDIT: usize = 4;
/// Longer names are compared up to this character.
const MAX_COMPARED_CHARS: usize = 64;

/// The known name that a misspelt one may mean, if one is near.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Suggestion(Option<String>);

impl Suggestion {
    /// The known name that is nearest to `name`, if it is near enough.
    pub(crate) fn nearest<'k>(name: &str, known: impl Iterator<Item = &'k str>) -> Self {
        let nearest = known.map(|known| (edit_distance(name, known), known)).min();
        let near = nearest.filter(|(distance, known)| {
            let max_distance = MAX_DISTANCE.max(known.len() / CHARS_PER_EDIT);
            *distance <= max_distance
        });
        Self(near.map(|(_, known)| known.to_owned()))
    }
}

impl fmt::Display for Suggestion {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match &self.0 {
            Some(name) => write!(f, "; is '{name}' meant?"),
            None => Ok(()),
        }
    }
}

/// The Levenshtein distance, by one row of the table at a time.
fn edit_distance(one: &str, other: &str) -> usize {
    let other: Vec<char> = other.chars().collect();
    let mut row: Vec<usize> = (0..=other.len()).collect();
    for (i, a) in one.chars().take(MAX_COMPARED_CHARS).enumerate() {
        let mut diagonal = std::mem::replace(&mut row[0], i + 1);
        for (j, b) in other.iter().enumerate() {
            let substituted = diagonal + usize::from(a != *b);
            diagonal = row[j + 1];
            let inserted = row[j] + 1;
            let deleted = diagonal + 1;
            row[j + 1] = substituted.min(inserted).min(deleted);
        }
    }
    row[other.len()]
}
