"""Socket utilities: addresses, write queues, socket status, datagrams between instances."""
