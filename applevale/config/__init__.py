"""The program's configuration: one JSON file, and environment variables."""
