"""Stand-ins for the upstreams and the weight store, each run as a process."""
