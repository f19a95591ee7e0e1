package services

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"strings"
)

// Defaults and limits of the fields, in the unit of the field.
const (
	defaultShare       = 1
	defaultDeadlineMS  = 60_000
	defaultFirstByteMS = 10_000
	defaultProgressMS  = 5_000
	defaultKeepHours   = 24
	defaultDueHours    = 24
	defaultQueueLimit  = 256
	defaultMaxBodyKB   = 1024
	defaultSlots       = 8

	maxWeight   = 1000
	maxRetries  = 5
	maxSlots    = 4096
	maxDeadline = 3_600_000
	maxNameLen  = 64
	hashLen     = 64
)

// Problem is one reason why a text is refused.
type Problem struct {
	// Line is the line in the document, from 1; 0 if none can be named.
	Line int `json:"line"`
	// Field is the path of the field, as in services[2].weight.
	Field string `json:"field"`
	// Fault says what is wrong, Remedy what to write instead.
	Fault  string `json:"fault"`
	Remedy string `json:"remedy"`
}

// String returns the problem as one line of text.
func (p Problem) String() string {
	return fmt.Sprintf("line %d: %s: %s; %s", p.Line, p.Field, p.Fault, p.Remedy)
}

// Problems is the error of a refused text: every problem that was found.
type Problems []Problem

// Error lists the problems, a line each.
func (p Problems) Error() string {
	lines := make([]string, len(p))
	for i, one := range p {
		lines[i] = one.String()
	}
	return strings.Join(lines, "\n")
}

type document struct {
	Organisations []Organisation `json:"organisations"`
	Services      []Service      `json:"services"`
	Backends      []Backend      `json:"backends"`
}

// Parse checks source and returns it as the text of that revision. The error
// is Problems.
func Parse(source []byte, revision int64) (*Text, error) {
	var doc document
	decoder := json.NewDecoder(bytes.NewReader(source))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&doc); err != nil {
		return nil, Problems{syntaxProblem(source, decoder, err)}
	}
	t := &Text{
		revision:      revision,
		source:        source,
		organisations: doc.Organisations,
		services:      doc.Services,
		backends:      doc.Backends,
	}
	c := &checker{text: t, lines: newLineIndex(source)}
	c.fillDefaults()
	c.index()
	c.checkOrganisations()
	c.checkServices()
	c.checkBackends()
	c.checkCycles()
	if len(c.problems) > 0 {
		return nil, c.problems
	}
	return t, nil
}

func syntaxProblem(source []byte, decoder *json.Decoder, err error) Problem {
	p := Problem{Field: "document", Fault: err.Error(), Remedy: "write one JSON object as docs/SERVICES.md shows"}
	offset := decoder.InputOffset()
	var syntax *json.SyntaxError
	var kind *json.UnmarshalTypeError
	switch {
	case errors.As(err, &syntax):
		offset = syntax.Offset
		p.Remedy = "mend the JSON at this line"
	case errors.As(err, &kind):
		offset = kind.Offset
		p.Field = kind.Field
		p.Remedy = "write a value of type " + kind.Type.String()
	case strings.Contains(err.Error(), "unknown field"):
		p.Field = strings.Trim(strings.TrimPrefix(err.Error(), "json: unknown field "), `"`)
		p.Fault = "unknown field"
		p.Remedy = "remove it or correct its name"
	}
	p.Line = 1 + bytes.Count(source[:min(int(offset), len(source))], []byte{'\n'})
	return p
}

type checker struct {
	text     *Text
	lines    lineIndex
	problems Problems
}

func (c *checker) add(field, fault, remedy string) {
	c.problems = append(c.problems, Problem{Line: c.lines.line(field), Field: field, Fault: fault, Remedy: remedy})
}

func (c *checker) fillDefaults() {
	for i := range c.text.organisations {
		setDefault(&c.text.organisations[i].Share, defaultShare)
	}
	for i := range c.text.services {
		s := &c.text.services[i]
		setDefault(&s.DeadlineMS, defaultDeadlineMS)
		setDefault(&s.FirstByteMS, defaultFirstByteMS)
		setDefault(&s.ProgressMS, defaultProgressMS)
		setDefault(&s.KeepHours, defaultKeepHours)
		setDefault(&s.DueHours, defaultDueHours)
		setDefault(&s.QueueLimit, defaultQueueLimit)
		setDefault(&s.MaxBodyKB, defaultMaxBodyKB)
	}
	for i := range c.text.backends {
		setDefault(&c.text.backends[i].Slots, defaultSlots)
	}
}

func setDefault(field *int, value int) {
	if *field == 0 {
		*field = value
	}
}

func (c *checker) index() {
	t := c.text
	t.tokens = make(map[string]int)
	t.byOrg = make(map[string]int)
	t.byService = make(map[string]int)
	t.byModel = make(map[string]int)
	t.byBackend = make(map[string]int)
	t.byEngines = make(map[string][]int)
	t.byProvider = make(map[string][]int)
	for i, o := range t.organisations {
		c.indexName(t.byOrg, o.Name, i, fmt.Sprintf("organisations[%d].name", i))
		for j, hash := range o.TokenHashes {
			field := fmt.Sprintf("organisations[%d].token_sha256[%d]", i, j)
			if _, taken := t.tokens[hash]; taken {
				c.add(field, "token stands twice", "give each organisation its own token")
			}
			t.tokens[hash] = i
		}
	}
	for i, s := range t.services {
		c.indexName(t.byService, s.Name, i, fmt.Sprintf("services[%d].name", i))
		if _, taken := t.byModel[s.Model]; !taken && s.Kind == EngineKind {
			t.byModel[s.Model] = i
		}
	}
	for i, b := range t.backends {
		c.indexName(t.byBackend, b.Name, i, fmt.Sprintf("backends[%d].name", i))
		for _, model := range b.Models {
			t.byEngines[model] = append(t.byEngines[model], i)
		}
		for _, service := range b.Services {
			t.byProvider[service] = append(t.byProvider[service], i)
		}
	}
}

func (c *checker) indexName(index map[string]int, name string, i int, field string) {
	if name == "" || len(name) > maxNameLen || strings.ContainsAny(name, " /\t\n") {
		c.add(field, "not a name", "write 1 to 64 characters without spaces or slashes")
		return
	}
	if _, taken := index[name]; taken {
		c.add(field, "name stands twice", "rename one of the two")
		return
	}
	index[name] = i
}

func (c *checker) checkOrganisations() {
	for i, o := range c.text.organisations {
		at := fmt.Sprintf("organisations[%d]", i)
		if len(o.TokenHashes) == 0 {
			c.add(at+".token_sha256", "no token", "add the SHA-256 of at least one token")
		}
		for j, hash := range o.TokenHashes {
			if len(hash) != hashLen || strings.Trim(hash, "0123456789abcdef") != "" {
				c.add(fmt.Sprintf("%s.token_sha256[%d]", at, j), "not a SHA-256 sum", "write 64 lower-case hexadecimal digits")
			}
		}
		if o.Share < 1 || o.RequestsPerSecond < 0 || o.Concurrency < 0 {
			c.add(at, "negative limit", "write limits of 0 or more and a share of 1 or more")
		}
		for j, name := range o.Services {
			if _, ok := c.text.byService[name]; !ok {
				c.add(fmt.Sprintf("%s.services[%d]", at, j), "unknown service "+name, "name a service of this text")
			}
		}
	}
}

func (c *checker) checkServices() {
	for i := range c.text.services {
		c.checkService(&c.text.services[i], fmt.Sprintf("services[%d]", i))
	}
}

func (c *checker) checkService(s *Service, at string) {
	switch s.Kind {
	case EngineKind:
		if s.Model == "" {
			c.add(at+".model", "engine service without a model", "name the model its engines hold")
		}
		if !s.Idempotent {
			c.add(at+".idempotent", "engine service that is not idempotent", "set idempotent to true")
		}
	case PlainKind:
		if s.Model != "" {
			c.add(at+".model", "plain service with a model", "remove model, or set kind to engine")
		}
	default:
		c.add(at+".kind", "unknown kind", `write "engine" or "plain"`)
	}
	if s.Urgency != "online" && s.Urgency != "batch" {
		c.add(at+".urgency", "unknown urgency", `write "online" or "batch"`)
	}
	if s.Weight < 1 || s.Weight > maxWeight {
		c.add(at+".weight", "weight out of range", "write a weight from 1 to 1000")
	}
	if s.Retries < 0 || s.Retries > maxRetries {
		c.add(at+".retries", "retries out of range", "write 0 to 5")
	}
	if !s.Idempotent && s.Retries > 0 {
		c.add(at+".retries", "retries on a service that is not idempotent", "remove retries, or set idempotent if a call may run twice")
	}
	if !s.Idempotent && !s.Durable {
		c.add(at+".durable", "a service that is not idempotent needs a record", "set durable to true")
	}
	if s.DeadlineMS < 1 || s.DeadlineMS > maxDeadline {
		c.add(at+".deadline_ms", "deadline out of range", "write 1 to 3600000 milliseconds")
	}
	if s.RequestsPerSecond < 0 || s.Concurrency < 0 || s.QueueLimit < 1 {
		c.add(at, "negative limit", "write limits of 0 or more and a queue_limit of 1 or more")
	}
	for j, name := range s.DependsOn {
		if _, ok := c.text.byService[name]; !ok {
			c.add(fmt.Sprintf("%s.depends_on[%d]", at, j), "unknown service "+name, "name a service of this text")
		}
	}
}

func (c *checker) checkBackends() {
	for i, b := range c.text.backends {
		at := fmt.Sprintf("backends[%d]", i)
		if _, _, err := net.SplitHostPort(b.Address); err != nil {
			c.add(at+".address", "not an address", "write IP:PORT")
		}
		if b.Zone == "" {
			c.add(at+".zone", "no availability zone", "name the zone the server stands in")
		}
		if b.Slots < 1 || b.Slots > maxSlots {
			c.add(at+".slots", "slots out of range", "write 1 to 4096")
		}
		if b.Kind == EngineKind && len(b.Models) == 0 {
			c.add(at+".models", "engine without a model", "name at least one model")
		}
		if b.Kind == PlainKind && len(b.Services) == 0 {
			c.add(at+".services", "server without a service", "name at least one plain service")
		}
		if b.Kind != EngineKind && b.Kind != PlainKind {
			c.add(at+".kind", "unknown kind", `write "engine" or "plain"`)
		}
		for j, name := range b.Services {
			if s, ok := c.text.Service(name); !ok || s.Kind != PlainKind {
				c.add(fmt.Sprintf("%s.services[%d]", at, j), "no plain service "+name, "name a plain service of this text")
			}
		}
	}
}

// checkCycles refuses services that depend on themselves, directly or not.
func (c *checker) checkCycles() {
	const (
		unseen = iota
		open
		closed
	)
	state := make([]int, len(c.text.services))
	var visit func(i int) bool
	visit = func(i int) bool {
		if state[i] != unseen {
			return state[i] == open
		}
		state[i] = open
		for _, name := range c.text.services[i].DependsOn {
			if j, ok := c.text.byService[name]; ok && visit(j) {
				return true
			}
		}
		state[i] = closed
		return false
	}
	for i := range c.text.services {
		if state[i] == unseen && visit(i) {
			c.add(fmt.Sprintf("services[%d].depends_on", i), "dependency cycle", "remove one dependency of the cycle")
			return
		}
	}
}
