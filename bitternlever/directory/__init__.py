"""The state machine of group 0, the directory: manifests, host leases, orders."""
