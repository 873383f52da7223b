"""Orders to engines: desired models, fencing, rate limit of the weight store."""
