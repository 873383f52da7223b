"""Small helpers without dependencies on other packages."""
