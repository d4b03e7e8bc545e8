"""The segmented store: an append-only log in files of equal size, cleaned in small steps while traffic
flows.
"""
