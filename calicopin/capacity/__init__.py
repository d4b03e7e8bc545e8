"""What the size in two years asks of each role: formulas over measured slopes, and the tables of
docs/CAPACITY.md."""
