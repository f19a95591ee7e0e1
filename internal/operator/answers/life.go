package answers

import "time"

// position is what was shown of one position of a job.
type position struct {
	// first is the first page that held it, count the number of pages.
	first *Line
	count int
}

// extent is what a page holds.
type extent struct{ after, results int }

// life is what was told about a job from its acceptance until its ID was accepted again.
type life struct {
	// begin is when it began; the first life has none.
	begin time.Time
	// gone is from when on the job may be unknown, if it was removed.
	gone time.Time

	// known is the first line that shows that the job exists.
	known *Line
	// shown has an entry for each position up to the last that was shown.
	shown    []position
	listings []*Line
	// ended is the line of the lowest revision at which the job was ended.
	ended    *Line
	denials  []*Line
	pages    int
	byExtent map[extent]*Line
	changed  []Contradiction
}

// livesOf returns the lives of a job, still without what was told, by its lines in the
// order of time.
func livesOf(lines []Line) []life {
	lives := []life{{}}
	start := 0
	for n := range lines {
		l, current := &lines[n], &lives[len(lives)-1]
		if n < start || l.Message != jobRemoved && l.Message != jobNotRemoved {
			continue
		}
		// A removal that failed may have taken effect.
		gone := l.At.Add(-removalPeriod)
		if current.gone.IsZero() || gone.Before(current.gone) {
			current.gone = gone
		}
		if l.Message == jobRemoved {
			// The ID may have been accepted again before the line of the removal.
			for m := start + 1; m < len(lines); m++ {
				if lines[m].Message == jobAccepted && lines[m].At.After(gone) {
					lives = append(lives, life{begin: lines[m].At})
					start = m
					break
				}
			}
		}
	}
	return lives
}

// lifeAt returns the index of the life at a time.
func lifeAt(lives []life, at time.Time) int {
	n := len(lives) - 1
	for n > 0 && at.Before(lives[n].begin) {
		n--
	}
	return n
}

// take adds a line; lines come in the order of time.
func (f *life) take(l *Line) {
	if l.Message == jobEnded || l.Message == resultsListed && l.Ended {
		if f.ended == nil || l.Revision < f.ended.Revision {
			f.ended = l
		}
	}
	switch l.Message {
	case resultsListed, jobTakenOver, jobHandedOver, jobLost:
		f.listings = append(f.listings, l)
	case jobAccepted, jobEnded:
	case answerTold:
		if l.denies() {
			f.denials = append(f.denials, l)
		}
		if l.Asked != askedResults || l.Status != statusOK {
			return
		}
		f.pages++
		f.takePage(l)
	default:
		return
	}
	// The cause of a loss may be that the record no longer exists.
	if f.known == nil && l.Message != jobLost {
		f.known = l
	}
}

func (f *life) takePage(l *Line) {
	if l.Results == 0 {
		return
	}
	for n := l.After; n < l.After+l.Results; n++ {
		for len(f.shown) <= n {
			f.shown = append(f.shown, position{})
		}
		if f.shown[n].first == nil {
			f.shown[n].first = l
		}
		f.shown[n].count++
	}
	if f.byExtent == nil {
		f.byExtent = make(map[extent]*Line)
	}
	key := extent{l.After, l.Results}
	if other, found := f.byExtent[key]; !found {
		f.byExtent[key] = l
	} else if other.List != l.List {
		f.changed = append(f.changed, Contradiction{Kind: Changed, Told: *l, Shown: *other})
	}
}
