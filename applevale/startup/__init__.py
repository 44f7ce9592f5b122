"""Start and reconnection of an instance in a fleet of hundreds without overloading shared services."""
