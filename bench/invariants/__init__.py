"""Judge a run by what stand-ins and callers recorded, never by the system's word."""
