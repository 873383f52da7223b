"""What requests cost upstreams, and what each upstream still has to do."""
