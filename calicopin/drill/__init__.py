"""The former name of `calicopin.simulator_adapter`, kept for deploy files that name `calicopin.drill`."""
