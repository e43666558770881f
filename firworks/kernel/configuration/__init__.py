"""Publication and spread of environment documents."""
