//! Model of the method that counts first and throttles near the limit.

/// What one daemon counts, and what it may still admit.
#[derive(Default)]
pub struct Throttle {
    pub arrived: u32,
    pub admitted: u32,
    /// Requests that may still be admitted; without a limit while `None`.
    pub left: Option<f64>,
}

impl Throttle {
    pub fn admit(&mut self) -> bool {
        self.arrived += 1;
        if let Some(left) = &mut self.left {
            if *left < 1.0 {
                return false;
            }
            *left -= 1.0;
        }
        self.admitted += 1;
        true
    }
}
