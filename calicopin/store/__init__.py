"""The segmented store: an append-only log in files of one size, cleaned in small steps while traffic
flows.
"""
