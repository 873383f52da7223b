"""The state machine of the journal groups, and the entry hosts' calls to it."""
