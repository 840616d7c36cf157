"""Measurements of decisions on a simulated clock, of latency and of costs."""
