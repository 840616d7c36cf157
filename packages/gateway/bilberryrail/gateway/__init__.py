"""The node process: forwards HTTP requests to backend servers."""
