"""Real programs under random faults from outside; promises checked from the records."""
