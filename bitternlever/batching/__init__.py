"""Stage work of many hosts, put together into full calls to each upstream."""
