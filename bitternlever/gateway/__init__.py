"""Entry hosts: run the stages of callers' requests and forward them to upstreams."""
