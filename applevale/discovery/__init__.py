"""Service discovery: sources of the list of engines, and the gates that engines pass before they get work."""
