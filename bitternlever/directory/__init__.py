"""The state machine of group 0: manifests, host leases, orders."""
