//! How the cost of control grows along each size of the fleet, and what it will be at the size that is coming.
//!
//! A [`plan`] changes one size at a time from a small base. [`execute`] measures its points, [`assess`] fits a form to
//! each quantity on the smaller half of the sizes and holds its prediction against the largest that was measured. [`projection`] combines the axes for the coming size.
//! [`mod@file`] keeps the outcome as JSON and [`table`] prints it.

pub mod assess;
pub mod axis;
pub mod execute;
pub mod file;
pub mod machine;
pub mod plan;
pub mod projection;
pub mod quantity;
pub mod scenario;
pub mod table;
