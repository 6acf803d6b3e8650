"""The core: operations, attempts, timers and the loop round the decisions. It knows no wire."""
