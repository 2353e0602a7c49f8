"""HTTP/1.1: the server side for clients and the client side for upstream servers (RFC 9110, RFC 9112)."""
