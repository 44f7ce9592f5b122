"""The program's configuration: environment variables and one JSON file."""
