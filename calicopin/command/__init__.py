"""The command line: run, write, check, compare and show configurations, and ask a running courier."""
