//! Numbers for names that a cycle compares often.

use rudderreel_wire::ids::{Image, Zone};
use std::collections::HashMap;

/// Numbers of images and zones, given in the order in which they are first seen.
#[derive(Default)]
pub(super) struct NameIndex {
    images: HashMap<Image, u32>,
    zones: Vec<Zone>,
}

impl NameIndex {
    /// The number of an image, which gets one if it has none.
    pub(super) fn number_image(&mut self, image: &Image) -> u32 {
        let next = self.images.len() as u32;
        *self.images.entry(image.clone()).or_insert(next)
    }

    /// The number of an image, if it has one.
    pub(super) fn image(&self, image: &Image) -> Option<u32> {
        self.images.get(image).copied()
    }

    /// The number of a zone, which gets one if it has none.
    pub(super) fn number_zone(&mut self, zone: &Zone) -> usize {
        match self.zones.iter().position(|known| known == zone) {
            Some(number) => number,
            None => {
                self.zones.push(zone.clone());
                self.zones.len() - 1
            }
        }
    }

    /// How many zones have numbers.
    pub(super) fn zone_count(&self) -> usize {
        self.zones.len()
    }
}
