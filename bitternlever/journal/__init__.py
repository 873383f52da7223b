"""The state machine of the journal groups, which record requests and answers."""
