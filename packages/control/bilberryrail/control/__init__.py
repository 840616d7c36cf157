"""Replay, planning, membership and relay decisions, without any I/O."""
