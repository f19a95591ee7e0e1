package revision

import "strings"

// maxDifferenceLines bounds a difference that is shown or kept.
const maxDifferenceLines = 200

// Difference returns the lines that differ between two texts, "- " before one
// that went and "+ " before one that came. Lines that both begin and end with
// are left out.
func Difference(before, after string) string {
	a, b := strings.Split(before, "\n"), strings.Split(after, "\n")
	for len(a) > 0 && len(b) > 0 && a[0] == b[0] {
		a, b = a[1:], b[1:]
	}
	for len(a) > 0 && len(b) > 0 && a[len(a)-1] == b[len(b)-1] {
		a, b = a[:len(a)-1], b[:len(b)-1]
	}
	var lines []string
	for _, line := range a {
		lines = append(lines, "- "+line)
	}
	for _, line := range b {
		lines = append(lines, "+ "+line)
	}
	if len(lines) > maxDifferenceLines {
		lines = append(lines[:maxDifferenceLines], "…")
	}
	return strings.Join(lines, "\n")
}
