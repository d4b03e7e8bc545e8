"""The HTTP server for operators, on a second address of the same event loop."""
