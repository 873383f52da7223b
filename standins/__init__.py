"""Stand-ins for the systems around bitternlever, run as processes."""
