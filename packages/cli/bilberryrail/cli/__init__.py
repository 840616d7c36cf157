"""Operators' command."""
