"""The operator's configuration: TOML in our words, read, checked, compared, written and turned into the
platform's form.

Nothing here is read in by a courier that runs on the platform's own JSON.
"""
