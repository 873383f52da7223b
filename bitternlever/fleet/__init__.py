"""Control of a fleet of entry hosts: catalog, upstreams' words and membership."""
