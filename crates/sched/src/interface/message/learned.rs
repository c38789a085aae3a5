//! The learned interference between images, in the form that is stored for the next leader.

use gaplock_types::ids;
use gaplock_types::time::Millis;

/// What was learned about one serving image, in the form that is stored for the next leader.
#[derive(Debug, Clone, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct LearnedImage {
    /// The serving image.
    pub image: String,
    /// Its lowest tail latency in milliseconds.
    pub lowest_ms: f64,
    /// How much each best-effort image interferes with it.
    pub factors: Vec<LearnedFactor>,
}

/// What was learned about one pair of images.
#[derive(Debug, Clone, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct LearnedFactor {
    /// The best-effort image.
    pub image: String,
    /// The interference per share of a worker's processors that the best-effort image uses, where
    /// 1 is all of them.
    pub factor: f64,
    /// The uncertainty of the factor, as a variance.
    pub variance: f64,
}

/// The confirmed period of the loads of one pool's jobs.
#[derive(Debug, Clone, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct LearnedPeriod {
    /// The service whose pool it is.
    pub pool: ids::ServiceId,
    /// The period.
    pub period: Millis,
}

/// What was learned about all images.
#[derive(Debug, Clone, PartialEq, Default, serde::Serialize, serde::Deserialize)]
pub struct Learned {
    /// The serving images.
    pub images: Vec<LearnedImage>,
    /// The confirmed periods, by pool. Records of earlier versions have none.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub periods: Vec<LearnedPeriod>,
}
