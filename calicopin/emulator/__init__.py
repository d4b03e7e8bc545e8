"""The emulator: whole couriers in virtual time, every kind of fault from one seed, and a referee of the
six rules.

An optional extra; nothing that a courier runs imports it.
"""
