"""The decisions of one sidecar: per-key failover, outlier detection, slow start, load shedding and retries.

A host (`host.py`) makes one `Balancer` (`balancer.py`) for each start of the sidecar, from a `BalancerConfig`
(`config.py`), and calls one method for each event. The package does no I/O, reads no clock and draws all
chance from one seed, so that the same calls lead to the same decisions.
"""
