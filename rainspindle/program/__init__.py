"""The program: command line, configuration, logging, signals."""
