"""The catalog: configuration of the routes, services and workspaces of entry hosts."""
