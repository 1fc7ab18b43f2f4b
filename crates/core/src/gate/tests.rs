//! Tests of the gate in virtual time.
