"""What is kept: texts, connections and the journal that outlasts the process."""
