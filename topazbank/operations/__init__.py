"""Operations: admin API, draining, and hand-over between two processes of one sidecar during an upgrade."""
