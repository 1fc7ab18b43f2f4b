//! Hard budgets: token buckets and shares of first attempts.
