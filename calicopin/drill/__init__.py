"""The adapter that lets the bench drive the decisions: a codec for its wire and a door for each courier."""
