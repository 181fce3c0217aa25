"""The lab: a model of the fleet, load, faults, experiments and reports. Nothing in service imports it."""
