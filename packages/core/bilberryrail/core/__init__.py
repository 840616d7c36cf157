"""Immutable records, ids, errors and codec shared by all packages."""
