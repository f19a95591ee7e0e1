package limit

// shareOf returns the share of limit for the host of that rank in the
// rendezvous hashing by the limit's name. All hosts get the same share, and
// those of the lowest ranks one more until the remainder is used up. The shares
// of hosts that agree on the live hosts add up to the limit exactly.
func shareOf(limit, rank, hosts int) int {
	share := limit / hosts
	if rank < limit%hosts {
		share++
	}
	return share
}
