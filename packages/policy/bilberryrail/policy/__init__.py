"""Decisions about routing, admission, retries and reservations, without I/O."""
