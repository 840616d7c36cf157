"""Checkers, fault matrix and scenarios that verify the invariants."""
