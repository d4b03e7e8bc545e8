"""Adapter through which the simulator drives the decisions: the wire codec and one `Instance` per courier."""
