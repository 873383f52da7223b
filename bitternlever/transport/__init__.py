"""Links between processes and the client towards upstreams."""
