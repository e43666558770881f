"""Orders to the engines of managed pools."""
