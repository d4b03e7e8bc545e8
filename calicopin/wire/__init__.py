"""What is spoken: the loop, HTTP, clients, endpoints, discovery and notices."""
