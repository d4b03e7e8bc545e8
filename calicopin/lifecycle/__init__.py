"""Start, configuration reload, restart and stop of a courier, and its run time."""
