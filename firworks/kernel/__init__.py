"""The kernel: decides everything and performs no I/O."""
