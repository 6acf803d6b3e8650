"""Chain replication of the control state. Replicas reconfigure the chain by agreeing on numbered views."""
