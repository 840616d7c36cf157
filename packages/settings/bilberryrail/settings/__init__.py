"""Settings objects, read from JSON and checked."""
