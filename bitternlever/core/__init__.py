"""Parts shared by the cores of both programs: ticks, outcomes, identifiers."""
