"""Start, restart and stop."""
