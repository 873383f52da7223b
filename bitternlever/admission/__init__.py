"""Admission control, queues, fair shares of workspaces, dispatch and preemption."""
