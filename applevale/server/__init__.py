"""The MessagePack-RPC server for clients: connections, protocol, validation of requests."""
