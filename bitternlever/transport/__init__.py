"""Links between the system's processes, and HTTP connections to upstreams."""
