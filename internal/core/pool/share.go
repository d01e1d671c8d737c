package pool

// usable is the part of an upstream's connections that the instances use
// together. The rest is for instances that come back after a power loss: what
// they left behind stays counted for seconds.
const usable = 0.7

// Share returns how many of an upstream's connections an instance with the
// given part of the whole may hold, one at least.
func Share(connections int, part float64) int {
	return max(int(usable*float64(connections)*part), 1)
}
