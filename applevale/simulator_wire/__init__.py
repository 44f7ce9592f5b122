"""The adapter between decision modules and a simulator, and the codec of their binary protocol."""
