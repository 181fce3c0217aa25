"""The link between gateways: requests sent to another site, and requests received from one."""
