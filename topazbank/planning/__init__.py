"""Planning: planners collect summaries of the whole fleet and send each forwarder an advisory routing plan."""
