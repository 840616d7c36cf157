"""Protocol between nodes: messages, generated code, frame conversion."""
