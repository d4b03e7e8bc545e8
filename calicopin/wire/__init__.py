"""Network code: event loop, HTTP, clients, endpoints, discovery and notices."""
