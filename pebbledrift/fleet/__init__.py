"""What the nodes of one fleet tell each other so that forty of them do not act as if each were alone."""
