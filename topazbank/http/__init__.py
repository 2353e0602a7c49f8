"""HTTP/1.1: the server that clients speak to and the client that speaks to servers (RFC 9110, RFC 9112)."""
