"""The operator's configuration: TOML files that are read, checked, compared, written and converted to the
platform's form.

A courier that runs on the platform's own JSON imports nothing from this package.
"""
