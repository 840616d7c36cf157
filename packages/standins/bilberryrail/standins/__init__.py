"""Stand-ins for the platform and its callers, for tests and the demo."""
