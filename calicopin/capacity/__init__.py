"""Capacity model: what the planned deployment size demands of each role, computed from measured unit costs.

Generates the tables of docs/CAPACITY.md.
"""
