"""Replay, planning, membership and relay decisions; no I/O."""
