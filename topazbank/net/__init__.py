"""The sockets round the decisions: bytes become events, actions become bytes."""
