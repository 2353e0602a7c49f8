"""Planning: planners that see the whole fleet give each forwarder a routing plan, which it may follow or not."""
