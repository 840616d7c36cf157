"""Command line for operators: ``bilberryrail``."""
