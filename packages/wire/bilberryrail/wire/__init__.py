"""Protocol between nodes: generated messages and their conversion."""
