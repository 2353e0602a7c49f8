"""MessagePack-RPC: the server that clients speak to and the client that speaks to servers (docs/msgpack-rpc.md)."""
