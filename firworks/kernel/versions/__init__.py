"""Software versions of targets, and the version at which each stream goes on."""
