"""State that the courier keeps: texts, connections, and the journal and list that survive a restart."""
