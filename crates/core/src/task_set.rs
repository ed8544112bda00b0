//! A set of task numbers, kept as ranges: most of a large job's tasks are next to one another in
//! what is done, and in what has not been started.

use std::collections::BTreeMap;

/// A set of task numbers.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct TaskSet {
    /// First and last of each range; ranges neither touch nor overlap.
    ranges: BTreeMap<u32, u32>,
    count: u32,
}

impl TaskSet {
    /// All numbers below one.
    pub fn below(end: u32) -> Self {
        let mut set = Self::default();
        if end > 0 {
            set.ranges.insert(0, end - 1);
            set.count = end;
        }
        set
    }

    /// How many there are.
    pub fn len(&self) -> u32 {
        self.count
    }

    /// Whether a number is in it.
    pub fn contains(&self, n: u32) -> bool {
        self.range_of(n).is_some()
    }

    fn range_of(&self, n: u32) -> Option<(u32, u32)> {
        let (&first, &last) = self.ranges.range(..=n).next_back()?;
        (n <= last).then_some((first, last))
    }

    /// Adds a number; returns whether it is new.
    pub fn insert(&mut self, n: u32) -> bool {
        if self.contains(n) {
            return false;
        }
        let before = n.checked_sub(1).and_then(|b| self.range_of(b));
        let after = n.checked_add(1).and_then(|a| self.ranges.remove(&a));
        let first = before.map_or(n, |(first, _)| first);
        self.ranges.insert(first, after.unwrap_or(n));
        self.count += 1;
        true
    }

    /// Takes a number out; returns whether it was there.
    pub fn remove(&mut self, n: u32) -> bool {
        let Some((first, last)) = self.range_of(n) else {
            return false;
        };
        self.ranges.remove(&first);
        if first < n {
            self.ranges.insert(first, n - 1);
        }
        if n < last {
            self.ranges.insert(n + 1, last);
        }
        self.count -= 1;
        true
    }

    /// The numbers in order.
    pub fn iter(&self) -> impl Iterator<Item = u32> + '_ {
        self.ranges().flat_map(|(first, last)| first..=last)
    }

    /// The ranges in order, both ends included.
    pub fn ranges(&self) -> impl Iterator<Item = (u32, u32)> + '_ {
        self.ranges.iter().map(|(&first, &last)| (first, last))
    }

    /// Adds a range that this set does not touch yet, or only in part.
    fn add_range(&mut self, (first, last): (u32, u32)) {
        let inside: Vec<u32> = self.ranges.range(first..=last).map(|(&f, _)| f).collect();
        for f in inside {
            if let Some(l) = self.ranges.remove(&f) {
                self.count -= l - f + 1;
            }
        }
        self.ranges.insert(first, last);
        self.count += last - first + 1;
    }

    /// Of this set at most so many ranges, among them everything that `kept`, a part of this set,
    /// holds: what could not be told this time is told later, and nothing that was told is dropped.
    pub fn within(&self, most: usize, kept: &Self) -> Self {
        if self.ranges.len() <= most {
            return self.clone();
        }
        let told = |r: &(u32, u32)| kept.ranges.range(r.0..=r.1).next().is_some();
        let mut part = Self::default();
        for range in self.ranges().filter(told) {
            part.add_range(range);
        }
        for range in self.ranges().filter(|r| !told(r)) {
            if part.ranges.len() >= most {
                break;
            }
            part.add_range(range);
        }
        part
    }
}

#[cfg(test)]
mod tests;
