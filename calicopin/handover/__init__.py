"""A new version under load: one process gives all it holds to the next, which goes on where it was."""
