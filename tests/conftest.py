"""Settings of the whole test run."""

pytest_plugins = ["pytester", "tests.known_red"]
