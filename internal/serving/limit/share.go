package limit

// shareOf returns the part of a whole limit that falls to the host of that
// rank: the same for all hosts, and one more for those that rank first for the
// limit's name, as many as the division leaves over. The parts of hosts that
// know the same live hosts add up to the limit exactly.
func shareOf(limit, rank, hosts int) int {
	part := limit / hosts
	if rank < limit%hosts {
		part++
	}
	return part
}
