"""Scale tests: what the program costs as its sizes grow, and what hollow couriers and real nodes do at full
size."""
