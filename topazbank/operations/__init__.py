"""Operations: the admin API, draining, and the hand-over between two processes of one sidecar during an upgrade."""
