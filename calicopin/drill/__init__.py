"""Alias of `calicopin.simulator_adapter`, kept for deploy files that use this former name."""
