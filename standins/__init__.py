"""Stand-ins for the upstreams and the weight store, each run as a process.

They serve the same HTTP interfaces with simulated work. Those of upstreams inject
faults on request.
"""
