"""Orders to engines: wanted placement, fencing, pacing of the weight store."""
