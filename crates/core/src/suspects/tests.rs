//! Tests of suspicion and of its spreading.
