"""HTTP/1.1: the front that clients speak to and the carrier that speaks to nodes."""
