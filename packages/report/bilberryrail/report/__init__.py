"""Tables and plots of the rounds in the journal."""
