"""The sedgeswitchd program: assembles the packages of entry and control hosts."""
