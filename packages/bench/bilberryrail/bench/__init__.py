"""Measurements of the decisions on the paused clock."""
