"""The program: command line, configuration, logging and signal handling."""
