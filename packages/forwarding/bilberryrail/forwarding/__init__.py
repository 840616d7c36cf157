"""Decisions about forwarded HTTP requests, without I/O."""
