"""Randomized fault soak: real courier processes on loopback under overlapping faults, checked against the
delivery rules as invariants (`docs/soak.md`).
"""
