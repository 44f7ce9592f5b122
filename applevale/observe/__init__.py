"""What the program tells of itself: counts, and events on standard error."""
