"""MessagePack-RPC: the server for clients and the client for upstream servers (docs/msgpack-rpc.md)."""
