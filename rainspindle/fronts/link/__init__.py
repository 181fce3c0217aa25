"""The link between gateways: exchanges that cross to another site, and those that come from one."""
