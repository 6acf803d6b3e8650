"""pebbledrift: the node round the decision module spoolpier."""
