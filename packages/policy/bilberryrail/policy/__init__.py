"""Routing, admission, retry and reservation decisions; no I/O."""
