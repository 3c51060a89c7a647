"""What VMs tell each other and agree on through the store."""
