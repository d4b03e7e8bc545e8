"""The command line: runs, writes, checks, compares and shows configurations, queries running couriers."""
