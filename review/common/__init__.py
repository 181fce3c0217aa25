"""What the cases of the review share: stand-ins, and how the program is started."""
