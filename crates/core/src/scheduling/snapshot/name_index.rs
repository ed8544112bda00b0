//! Interning of names that a cycle compares often.

use rudderreel_wire::ids::{Image, Zone};
use std::collections::HashMap;

/// Numbers of images and zones, assigned in the order in which the names are first seen.
#[derive(Default)]
pub(super) struct NameIndex {
    images: HashMap<Image, u32>,
    zones: Vec<Zone>,
}

impl NameIndex {
    /// Returns the number of an image, assigning one if it has none.
    pub(super) fn intern_image(&mut self, image: &Image) -> u32 {
        let next = self.images.len() as u32;
        *self.images.entry(image.clone()).or_insert(next)
    }

    /// Returns the number of an image, if it has one.
    pub(super) fn image(&self, image: &Image) -> Option<u32> {
        self.images.get(image).copied()
    }

    /// Returns the number of a zone, assigning one if it has none.
    pub(super) fn intern_zone(&mut self, zone: &Zone) -> usize {
        match self.zones.iter().position(|known| known == zone) {
            Some(number) => number,
            None => {
                self.zones.push(zone.clone());
                self.zones.len() - 1
            }
        }
    }

    /// Returns the number of zones that have numbers.
    pub(super) fn zone_count(&self) -> usize {
        self.zones.len()
    }
}
