"""Handover under load: a serving process passes its state and connections to the process that replaces it."""
