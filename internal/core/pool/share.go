package pool

import "time"

// usableShare is the share of an upstream's connections that all instances
// together may use. The rest is reserved for instances that restart after a power
// loss: the upstream counts their old connections for some seconds.
const usableShare = 0.7

// Share returns how many of an upstream's connections an instance with the given
// share of the total may hold, at least one.
func Share(connections int, share float64) int {
	return max(int(usableShare*float64(connections)*share), 1)
}

const (
	// idleTimeout is how long a connection of several may stay idle. After a power
	// loss of an instance, an upstream still counts the instance's old connections
	// for some seconds, and the restarted instance needs room for new ones.
	idleTimeout = 2 * time.Second
	// onlyIdleTimeout is the same where the instance may have one connection only.
	// Many instances then share the upstream, each uses it rarely, and opening a
	// connection takes about as much of a slot as a statement.
	onlyIdleTimeout = 4 * time.Second
)

// IdleTimeout returns how long a connection may stay idle in a pool with the limit.
func IdleTimeout(limit int) time.Duration {
	if limit > 1 {
		return idleTimeout
	}
	return onlyIdleTimeout
}
