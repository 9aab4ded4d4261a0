//! Images as small keys: what is learned of them is looked up by index many times in each plan.

use std::collections::BTreeMap;

/// An image.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Image(u32);

impl Image {
    /// Its place in tables by image.
    pub fn index(self) -> usize {
        self.0 as usize
    }
}

/// The images that were heard of, by name and by key.
#[derive(Debug, Default)]
pub struct Images {
    keys: BTreeMap<String, Image>,
    names: Vec<String>,
}

impl Images {
    /// The key of an image, a new one if it was not heard of.
    pub fn key(&mut self, name: &str) -> Image {
        if let Some(key) = self.keys.get(name) {
            return *key;
        }
        let key = Image(self.names.len() as u32);
        self.keys.insert(name.to_owned(), key);
        self.names.push(name.to_owned());
        key
    }

    /// The name of an image.
    pub fn name(&self, image: Image) -> &str {
        &self.names[image.index()]
    }

    /// The name of the image at that place.
    pub fn name_at(&self, index: usize) -> &str {
        &self.names[index]
    }
}
