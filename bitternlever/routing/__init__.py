"""Selection of upstreams, concurrency limits, hedges, retries and ejection."""
