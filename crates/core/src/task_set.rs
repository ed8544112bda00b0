//! Sets of task numbers, stored as ranges, because most tasks of a large job have adjacent numbers among the done tasks
//! and among those that have not been started.
//!
//! Invariant: ranges neither touch nor overlap, so a set has exactly one representation, and its size in the placement
//! log follows from the number of its ranges.

use std::collections::BTreeMap;

/// A set of task numbers.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct TaskSet {
    /// The last number of each range, by its first.
    ranges: BTreeMap<u32, u32>,
    count: u32,
}

impl TaskSet {
    /// Returns the set of all numbers below `end`.
    pub fn below(end: u32) -> Self {
        let mut set = Self::default();
        if end > 0 {
            set.ranges.insert(0, end - 1);
            set.count = end;
        }
        set
    }

    /// Returns how many numbers the set contains.
    pub fn len(&self) -> u32 {
        self.count
    }

    /// Returns whether the set contains a number.
    pub fn contains(&self, number: u32) -> bool {
        self.range_of(number).is_some()
    }

    /// Returns the range that contains a number.
    fn range_of(&self, number: u32) -> Option<(u32, u32)> {
        let (&first, &last) = self.ranges.range(..=number).next_back()?;
        (number <= last).then_some((first, last))
    }

    /// Adds a number, and returns whether it is new.
    pub fn insert(&mut self, number: u32) -> bool {
        if self.contains(number) {
            return false;
        }
        let below = (number.checked_sub(1)).and_then(|previous| self.range_of(previous));
        let end_above = (number.checked_add(1)).and_then(|next| self.ranges.remove(&next));
        let first = below.map_or(number, |(first, _)| first);
        self.ranges.insert(first, end_above.unwrap_or(number));
        self.count += 1;
        true
    }

    /// Removes a number, and returns whether the set contained it.
    pub fn remove(&mut self, number: u32) -> bool {
        let Some((first, last)) = self.range_of(number) else {
            return false;
        };
        self.ranges.remove(&first);
        if first < number {
            self.ranges.insert(first, number - 1);
        }
        if number < last {
            self.ranges.insert(number + 1, last);
        }
        self.count -= 1;
        true
    }

    /// Returns the numbers in ascending order.
    pub fn iter(&self) -> impl Iterator<Item = u32> + '_ {
        self.ranges().flat_map(|(first, last)| first..=last)
    }

    /// Returns the first and last number of each range, in ascending order.
    pub fn ranges(&self) -> impl Iterator<Item = (u32, u32)> + '_ {
        self.ranges.iter().map(|(&first, &last)| (first, last))
    }

    /// Adds a range, given by its first and last number. It may contain whole ranges of this set but must not overlap
    /// any range in part.
    fn add_range(&mut self, (first, last): (u32, u32)) {
        let inside: Vec<u32> = (self.ranges.range(first..=last))
            .map(|(&inner_first, _)| inner_first)
            .collect();
        for inner_first in inside {
            if let Some(inner_last) = self.ranges.remove(&inner_first) {
                self.count -= inner_last - inner_first + 1;
            }
        }
        self.ranges.insert(first, last);
        self.count += last - first + 1;
    }

    /// Returns a part of this set: at most `max_ranges` of its ranges, or, if that takes more, all that contain numbers
    /// of `recorded`, which is a subset of this set. What can't be recorded this time is recorded later, and nothing
    /// that was recorded is dropped.
    pub fn limited_to_ranges(&self, max_ranges: usize, recorded: &Self) -> Self {
        if self.ranges.len() <= max_ranges {
            return self.clone();
        }
        let contains_recorded =
            |&(first, last): &(u32, u32)| recorded.ranges.range(first..=last).next().is_some();
        let mut part = Self::default();
        for range in self.ranges().filter(contains_recorded) {
            part.add_range(range);
        }
        for range in self.ranges().filter(|range| !contains_recorded(range)) {
            if part.ranges.len() >= max_ranges {
                break;
            }
            part.add_range(range);
        }
        part
    }
}

#[cfg(test)]
mod tests;
