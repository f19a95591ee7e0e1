package ownership

// assign decides which of the most urgent items runs on which server, so that as
// few as possible lose their output to a server of another software version. The
// first len(servers) items of the queue all start. It returns for each server the
// index of its item.
func assign[S, I any](servers []S, queue []I, fits func(I, S) bool) []int {
	items := make([]int, len(servers))
	taken := make([]bool, len(servers))
	assigned := make([]bool, len(servers))
	take := func(n, i int) { items[n], taken[n], assigned[i] = i, true, true }
	// An item that few of the servers fit chooses first: those without output fit
	// all of them.
	choices := make([]int, len(servers))
	for i := range servers {
		for _, s := range servers {
			if fits(queue[i], s) {
				choices[i]++
			}
		}
	}
	for most := 1; most <= len(servers); most++ {
		for i := range servers {
			if choices[i] != most {
				continue
			}
			for n, s := range servers {
				if !taken[n] && fits(queue[i], s) {
					take(n, i)
					break
				}
			}
		}
	}
	for i := range servers {
		for n := range servers {
			if !assigned[i] && !taken[n] {
				take(n, i)
			}
		}
	}
	return items
}
