"""The watch on discovery: when to call it, what it tells, and until when its list may be relied on."""
