"""The clients' side: MessagePack-RPC over TCP."""
