"""The adapter that lets the bench drive the decisions: a codec for its wire, an instance for each courier."""
