"""Process that forwards HTTP requests between nodes and backend servers."""
