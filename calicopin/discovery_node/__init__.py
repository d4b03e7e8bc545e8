"""The discovery node: a role of this program that serves couriers the parts of the list to which they
subscribe."""
