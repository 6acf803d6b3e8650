"""Fleet-wide rate limits: hard limits by units lent between nodes, soft limits by reported demand."""
