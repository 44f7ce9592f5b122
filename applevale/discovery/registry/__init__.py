"""Engine list from a key-value registry: record format, watcher, and sessions for etcd and Consul."""
