//! What was learnt of how images disturb each other, in the form in which it outlives a leader.

/// What was learnt of one serving image, in the form in which it outlives a leader.
#[derive(Debug, Clone, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct LearnedImage {
    /// The serving image.
    pub image: String,
    /// Its lowest tail in milliseconds.
    pub lowest_ms: f64,
    /// The pressure that filling images put on it.
    pub factors: Vec<LearnedFactor>,
}

/// What was learnt of one pair of images.
#[derive(Debug, Clone, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct LearnedFactor {
    /// The filling image.
    pub image: String,
    /// Its factor.
    pub factor: f64,
    /// How uncertain the factor is, as a variance.
    pub variance: f64,
}

/// What was learnt of all images.
#[derive(Debug, Clone, PartialEq, Default, serde::Serialize, serde::Deserialize)]
pub struct Learned {
    /// The serving images.
    pub images: Vec<LearnedImage>,
}
