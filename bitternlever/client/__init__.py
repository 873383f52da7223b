"""A client that follows the system's rules for callers.

``calls.create`` makes a client, ``calls.run`` sends a request until it has one final
outcome, ``calls.cancel`` and ``calls.acknowledge`` act on a request by its id.
"""
