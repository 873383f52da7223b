"""Queues, priorities, workspace shares and early refusals."""
