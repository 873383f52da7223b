"""Control process of a fleet: catalog, upstream statuses, hosts and membership."""
