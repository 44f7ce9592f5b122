"""Who of the workload managers lives: decisions without I/O and clock, and the form of their datagrams."""
