"""How an instance starts and reconnects as one of hundreds, without overloading what all of them call."""
