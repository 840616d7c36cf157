"""Node process: the sockets, timers and servers around the engine."""
