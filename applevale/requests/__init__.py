"""The life of one client request, whatever protocol it came by."""
