"""The decisions of one sidecar: per-key failover, outlier detection, slow start, load shedding and retries.

A host (`host.py`) makes one `Balancer` (`balancer.py`) for each start of the sidecar, from a `BalancerConfig`
(`config.py`), and calls one method for each event. The package does no I/O, reads no clock and draws all
random numbers from one seed, so the same calls lead to the same decisions.
"""
