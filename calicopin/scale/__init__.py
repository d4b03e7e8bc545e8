"""Scale tests: cost of the program over size, and full-size runs of nodes with simulated couriers."""
