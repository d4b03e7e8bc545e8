"""Where operators call: a second address on the one loop."""
