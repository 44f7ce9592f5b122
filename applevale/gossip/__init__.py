"""Load reports: instances share with each other what they learn about the load of engines."""
