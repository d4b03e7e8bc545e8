"""Deterministic simulation of whole couriers in virtual time, with seeded faults and a referee of the
delivery rules.

An optional extra: no module that a courier runs imports it.
"""
