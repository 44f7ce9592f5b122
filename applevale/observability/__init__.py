"""What the program reports of itself: counters, and log events on standard error."""
