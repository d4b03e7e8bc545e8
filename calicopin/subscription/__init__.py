"""Subscriptions to parts of the list of endpoints: messages and decisions, without I/O and without a
clock.
"""
