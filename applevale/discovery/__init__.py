"""Service discovery: sources of the engine list, and exclusion of engines that must not get new requests."""
