"""Real discovery nodes before hollow couriers on one machine: full-size runs, slopes of the node, and faults."""
