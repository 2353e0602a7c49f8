"""MessagePack-RPC: codec, front and carrier.  The mapping of calls: docs/msgpack-rpc.md."""
