"""A ZooKeeper ensemble for tests: the wire protocol, a quorum, sessions and watches, with faults on demand."""

from testbed.zookeeper.ensemble import Ensemble

__all__ = ["Ensemble"]
