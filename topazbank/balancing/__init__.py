"""Every decision on requests: server selection, admission, retries, slow start and outlier ejection.  No I/O."""
