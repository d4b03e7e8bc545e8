"""Subscriptions of couriers to parts of the endpoint list: messages and decisions, without I/O or a clock."""
