"""Checkers, fault matrix and scenarios that prove the invariants."""
