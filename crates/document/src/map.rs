//! Hash collections with a fast hasher.

/// A hash map with a fast, randomly seeded hasher.
pub type HashMap<K, V> = std::collections::HashMap<K, V, foldhash::fast::RandomState>;

/// A hash set with a fast, randomly seeded hasher.
pub type HashSet<T> = std::collections::HashSet<T, foldhash::fast::RandomState>;
