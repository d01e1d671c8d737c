package pool

// reserve is the part of an upstream's connections that all instances together
// leave free, since those of an instance that lost power stay counted for
// seconds.
const reserve = 0.5

// Share returns how many of an upstream's connections each of the instances
// may hold: its part of what is not reserved, and one for each slot as far as
// there are enough.
func Share(connections, slots, instances int) int {
	instances = max(instances, 1)
	equal := connections / instances
	unreserved := int((1-reserve)*float64(connections)) / instances
	return max(min(slots, equal), unreserved, 1)
}
