"""Real discovery nodes before hollow couriers on one machine: full-size runs, slopes and faults."""
