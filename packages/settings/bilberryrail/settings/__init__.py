"""Settings of a node, read from a JSON file and checked."""
