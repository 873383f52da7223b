"""The configuration of routes, services and workspaces that entry hosts serve."""
