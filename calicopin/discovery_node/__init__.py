"""The discovery node: a role of this program that serves couriers the parts of the list they subscribe to."""
