//! Control state: membership, configuration, dissemination, leaving.
