package revision

import (
	"slices"
	"strings"
)

const (
	// maxDifferenceLines bounds a difference that is shown or kept.
	maxDifferenceLines = 200
	// maxEdits bounds the search for a shortest difference; beyond it all lines
	// between the first and the last difference are shown.
	maxEdits = 400
)

// Diff returns the lines that differ between two texts, "- " before one
// that went and "+ " before one that came. Lines that both have are left out.
func Diff(before, after string) string {
	lines := differences(strings.Split(before, "\n"), strings.Split(after, "\n"))
	if len(lines) > maxDifferenceLines {
		lines = append(lines[:maxDifferenceLines], "…")
	}
	return strings.Join(lines, "\n")
}

func differences(a, b []string) []string {
	for len(a) > 0 && len(b) > 0 && a[0] == b[0] {
		a, b = a[1:], b[1:]
	}
	for len(a) > 0 && len(b) > 0 && a[len(a)-1] == b[len(b)-1] {
		a, b = a[:len(a)-1], b[:len(b)-1]
	}
	if trails, ok := shortestEdits(a, b); ok {
		return editLines(a, b, trails)
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

// shortestEdits is the greedy algorithm of Myers: trails[d][k+d] is how far
// into a the best path with d edits comes on diagonal k.
func shortestEdits(a, b []string) (trails [][]int, ok bool) {
	reach := map[int]int{1: 0}
	for d := 0; d <= min(len(a)+len(b), maxEdits); d++ {
		trail := make([]int, 2*d+1)
		for k := -d; k <= d; k += 2 {
			x := reach[k-1] + 1
			if k == -d || (k != d && reach[k-1] < reach[k+1]) {
				x = reach[k+1]
			}
			for x < len(a) && x-k < len(b) && a[x] == b[x-k] {
				x++
			}
			reach[k], trail[k+d] = x, x
			if x >= len(a) && x-k >= len(b) {
				return append(trails, trail), true
			}
		}
		trails = append(trails, trail)
	}
	return nil, false
}

// editLines walks the trails back from the ends of a and b.
func editLines(a, b []string, trails [][]int) []string {
	var lines []string
	x, y := len(a), len(b)
	for d := len(trails) - 1; d > 0; d-- {
		before := func(k int) int {
			if k < -(d-1) || k > d-1 {
				return -1
			}
			return trails[d-1][k+d-1]
		}
		k := x - y
		if k == -d || (k != d && before(k-1) < before(k+1)) {
			x, y = before(k+1), before(k+1)-k-1
			lines = append(lines, "+ "+b[y])
		} else {
			x, y = before(k-1), before(k-1)-k+1
			lines = append(lines, "- "+a[x])
		}
	}
	slices.Reverse(lines)
	return lines
}
