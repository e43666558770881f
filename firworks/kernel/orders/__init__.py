"""Orders to engines."""
