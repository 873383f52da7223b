"""Entry hosts: callers' requests on their way through stages to an upstream."""
