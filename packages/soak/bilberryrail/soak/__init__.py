"""Randomized soak: real node processes, faults from outside, promises."""
