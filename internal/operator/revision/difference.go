package revision

import (
	"slices"
	"strings"
)

const (
	// maxDifferenceLines limits the lines that Diff returns.
	maxDifferenceLines = 200
	// maxEdits limits the search for the shortest difference. Beyond it, all
	// lines between the first and the last difference are returned.
	maxEdits = 400
)

// Diff returns the lines that differ between two texts, prefixed with "- " if
// removed and "+ " if added. Common lines are omitted.
func Diff(before, after string) string {
	lines := diffLines(strings.Split(before, "\n"), strings.Split(after, "\n"))
	if len(lines) > maxDifferenceLines {
		lines = append(lines[:maxDifferenceLines], "…")
	}
	return strings.Join(lines, "\n")
}

func diffLines(a, b []string) []string {
	for len(a) > 0 && len(b) > 0 && a[0] == b[0] {
		a, b = a[1:], b[1:]
	}
	for len(a) > 0 && len(b) > 0 && a[len(a)-1] == b[len(b)-1] {
		a, b = a[:len(a)-1], b[:len(b)-1]
	}
	if trace, ok := shortestEdits(a, b); ok {
		return editLines(a, b, trace)
	}
	var lines []string
	for _, line := range a {
		lines = append(lines, "- "+line)
	}
	for _, line := range b {
		lines = append(lines, "+ "+line)
	}
	return lines
}

// shortestEdits implements the greedy algorithm of Myers: trace[d][k+d] is the
// furthest position in a that a path with d edits reaches on diagonal k. It
// returns false if more than maxEdits edits are needed.
func shortestEdits(a, b []string) (trace [][]int, ok bool) {
	furthest := map[int]int{1: 0}
	for d := 0; d <= min(len(a)+len(b), maxEdits); d++ {
		snapshot := make([]int, 2*d+1)
		for k := -d; k <= d; k += 2 {
			x := furthest[k-1] + 1
			if k == -d || (k != d && furthest[k-1] < furthest[k+1]) {
				x = furthest[k+1]
			}
			for x < len(a) && x-k < len(b) && a[x] == b[x-k] {
				x++
			}
			furthest[k], snapshot[k+d] = x, x
			if x >= len(a) && x-k >= len(b) {
				return append(trace, snapshot), true
			}
		}
		trace = append(trace, snapshot)
	}
	return nil, false
}

// editLines returns the edits by backtracking through trace from the ends of a
// and b.
func editLines(a, b []string, trace [][]int) []string {
	var lines []string
	x, y := len(a), len(b)
	for d := len(trace) - 1; d > 0; d-- {
		furthest := func(k int) int {
			if k < -(d-1) || k > d-1 {
				return -1
			}
			return trace[d-1][k+d-1]
		}
		k := x - y
		if k == -d || (k != d && furthest(k-1) < furthest(k+1)) {
			x, y = furthest(k+1), furthest(k+1)-k-1
			lines = append(lines, "+ "+b[y])
		} else {
			x, y = furthest(k-1), furthest(k-1)-k+1
			lines = append(lines, "- "+a[x])
		}
	}
	slices.Reverse(lines)
	return lines
}
