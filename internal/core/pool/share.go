package pool

// usableShare is the share of an upstream's connections that all instances
// together may use. The rest is reserved for instances that restart after a power
// loss: the upstream counts their old connections for some seconds.
const usableShare = 0.7

// Share returns how many of an upstream's connections an instance with the given
// share of the total may hold, at least one.
func Share(connections int, share float64) int {
	return max(int(usableShare*float64(connections)*share), 1)
}
