"""Tables and plots of the bench runs that the journal records."""
