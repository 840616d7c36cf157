"""Node process: the shell around the decision engine."""
