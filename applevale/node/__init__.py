"""The real workload manager: sockets, timers and configuration round the decision module."""
