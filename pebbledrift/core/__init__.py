"""Operations, attempts, timers and the event loop around the decision module, independent of any protocol."""
