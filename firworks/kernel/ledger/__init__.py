"""The ledger of work that may not repeat."""
