package answers

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"strconv"
	"strings"
	"time"

	"github.com/gravitational/trace"
)

// The messages that are judged; see docs/OPERATIONS.md.
const (
	answerTold    = "answer told"
	resultsListed = "results listed"
	jobAccepted   = "job accepted"
	jobTakenOver  = "job taken over"
	jobHandedOver = "job handed over"
	jobLost       = "job lost"
	jobEnded      = "job ended for its owner"
	jobRemoved    = "job removed"
	jobNotRemoved = "job not removed"
	linesDropped  = "log lines dropped"
	hostSeen      = "host seen"
	started       = "started"
	stopped       = "stopped"
)

// The values of fields that are judged.
const (
	askedResults   = "results"
	askedEnd       = "end"
	statusOK       = "ok"
	statusNotFound = "not found"
)

// Line is one line of a host, with the fields of the messages that are judged.
type Line struct {
	At      time.Time `json:"-"`
	Host    string    `json:"-"`
	Message string    `json:"msg"`

	Job     string `json:"job"`
	Asked   string `json:"asked"`
	After   int    `json:"after"`
	Status  string `json:"status"`
	Results int    `json:"results"`
	Total   int    `json:"total"`
	// List is a checksum of the results of a page.
	List    string `json:"list"`
	AgeMS   int64  `json:"age_ms"`
	Source  string `json:"source"`
	Skipped int    `json:"skipped"`

	Listed int `json:"listed"`
	// Revision is that of the job's record, Ended whether it says that the job was ended.
	Revision int64 `json:"revision"`
	Ended    bool  `json:"ended"`
	Lines    int   `json:"lines"`
	// Other is the host that a line is about, Live whether it was heard.
	Other string `json:"host"`
	Live  bool   `json:"live"`
}

// denies reports whether the line is of an answer that denies a position or a job.
func (l *Line) denies() bool {
	switch {
	case l.Message != answerTold:
		return false
	case l.Status == statusNotFound:
		return l.Asked == askedResults || l.Asked == askedEnd
	}
	return l.Status == statusOK && l.Asked == askedResults && l.Results == 0 && l.After >= 0 && l.After < l.Total
}

// knownAt returns as of when a denial is known; for other lines, their time.
func (l *Line) knownAt() time.Time {
	if !l.denies() {
		return l.At
	}
	return l.At.Add(-time.Duration(l.AgeMS) * time.Millisecond)
}

// String returns a line as a part of a sentence.
func (l Line) String() string {
	text := fmt.Sprintf("%s %s ", l.clock(), l.Host)
	switch {
	case l.Message != answerTold:
		return text + fmt.Sprintf("%q, %d listed of %d, revision %d", l.Message, l.Listed, l.Total, l.Revision)
	case l.Status != statusOK:
		text += fmt.Sprintf("answered %q to %q", l.Status, l.Asked)
	case l.Results == 0:
		text += fmt.Sprintf("told no result at position %d of %d", l.After, l.Total)
	default:
		return text + fmt.Sprintf("told %d results from position %d on of %d, from %s, checksum %s", l.Results, l.After, l.Total, l.Source, l.List)
	}
	return text + fmt.Sprintf(", from %s, known %d ms before", l.Source, l.AgeMS)
}

// clock returns the time as the line had it.
func (l *Line) clock() string {
	if l.At.Year() < firstYear {
		return strconv.FormatFloat(float64(l.At.UnixMicro())/float64(time.Second/time.Microsecond), 'f', 4, 64)
	}
	return l.At.UTC().Format("2006-01-02T15:04:05.000000Z07:00")
}

const (
	// firstYear is before all times of hosts; earlier ones are seconds since a beginning.
	firstYear = 2000
	// maxLineBytes is the maximum length of a line.
	maxLineBytes = 1 << 20
)

var (
	messageField = []byte(`"msg":"`)
	lineBegin    = []byte(`{"level":`)
)

// Read adds the lines that hosts wrote to their standard output. A line is a JSON object,
// of the host that is named until the host's first line names another. Or each line has
// the time, in seconds, and the host's name before its object; this time is used then, and
// the host's own is not.
func (j *Judge) Read(r io.Reader, host string) error {
	scanner := bufio.NewScanner(r)
	scanner.Buffer(make([]byte, 64<<10), maxLineBytes)
	names := make(map[string]string)
	// Most lines share their strings with others.
	intern := func(fields ...*string) {
		for _, f := range fields {
			known, found := names[*f]
			if !found {
				known = *f
				names[known] = known
			}
			*f = known
		}
	}
	for scanner.Scan() {
		text := scanner.Bytes()
		object := bytes.IndexByte(text, '{')
		if object < 0 {
			continue
		}
		prefix := text[:object]
		if last := bytes.LastIndex(text, lineBegin); last > object {
			// A line of a host that ended ends within.
			j.unreadable++
			object = last
		}
		if !isJudged(text[object:]) {
			continue
		}
		var own struct {
			Time time.Time `json:"ts"`
			Line
		}
		if json.Unmarshal(text[object:], &own) != nil {
			j.unreadable++
			continue
		}
		l := own.Line
		l.At, l.Host = own.Time, host
		if at, name, ok := parsePrefix(prefix); ok {
			l.At, l.Host = at, name
		} else if l.Message == started && l.Other != "" {
			host, l.Host = l.Other, l.Other
		}
		intern(&l.Host, &l.Message, &l.Job, &l.Asked, &l.Status, &l.List, &l.Source, &l.Other)
		j.Add(l)
	}
	return trace.Wrap(scanner.Err())
}

// isJudged reports whether the text of a line has a message that is judged.
func isJudged(text []byte) bool {
	begin := bytes.Index(text, messageField)
	if begin < 0 {
		return false
	}
	message := text[begin+len(messageField):]
	if end := bytes.IndexByte(message, '"'); end >= 0 {
		message = message[:end]
	}
	switch string(message) {
	case answerTold, resultsListed, jobAccepted, jobTakenOver, jobHandedOver, jobLost, jobEnded, jobRemoved, jobNotRemoved, linesDropped, hostSeen, started, stopped:
		return true
	}
	return false
}

// parsePrefix parses the time and the host's name before a line's object.
func parsePrefix(prefix []byte) (at time.Time, host string, ok bool) {
	fields := strings.Fields(string(prefix))
	if len(fields) != 2 {
		return at, "", false
	}
	seconds, err := strconv.ParseFloat(fields[0], 64)
	if err != nil {
		return at, "", false
	}
	return time.Unix(0, int64(seconds*float64(time.Second))).UTC(), fields[1], true
}
