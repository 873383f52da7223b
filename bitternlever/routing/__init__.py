"""The choice of an upstream, its limits, hedges, retries and ejection."""
