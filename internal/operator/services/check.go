package services

import (
	"fmt"
	"math"
	"net"
	"strconv"
	"strings"
)

// checker fills in defaults and gathers what is wrong with a decoded text.
type checker struct {
	text   *Text
	source []byte
	// lines is made with the first problem; a text without one never needs it.
	lines    *lineIndex
	problems Problems
}

func (c *checker) run() {
	c.fillDefaults()
	c.index()
	c.checkOrganisations()
	c.checkServices()
	c.checkBackends()
	c.checkCycles()
	c.warn()
}

func (c *checker) problem(field, fault, remedy string) Problem {
	if c.lines == nil {
		c.lines = newLineIndex(c.source)
	}
	return Problem{Line: c.lines.line(field), Field: field, Fault: fault, Remedy: remedy}
}

func (c *checker) add(field, fault, remedy string) {
	c.problems = append(c.problems, c.problem(field, fault, remedy))
}

func (c *checker) fillDefaults() {
	for i := range c.text.organisations {
		setDefault(&c.text.organisations[i].Share, ranges["organisations.share"].Default)
	}
	for i := range c.text.services {
		s := &c.text.services[i]
		setDefault(&s.DeadlineMS, ranges["services.deadline_ms"].Default)
		setDefault(&s.FirstByteMS, min(ranges["services.first_byte_ms"].Default, max(1, s.DeadlineMS)))
		setDefault(&s.ProgressMS, min(ranges["services.progress_ms"].Default, max(1, s.DeadlineMS)))
		setDefault(&s.KeepHours, ranges["services.keep_hours"].Default)
		setDefault(&s.DueHours, ranges["services.due_hours"].Default)
		setDefault(&s.QueueLimit, ranges["services.queue_limit"].Default)
		setDefault(&s.MaxBodyKB, ranges["services.max_body_kb"].Default)
	}
	for i := range c.text.backends {
		setDefault(&c.text.backends[i].Slots, ranges["backends.slots"].Default)
	}
}

func setDefault(field *int, value int) {
	if *field == 0 {
		*field = value
	}
}

func (c *checker) index() {
	t := c.text
	t.tokens = make(map[string]int, len(t.organisations))
	t.byOrg = make(map[string]int, len(t.organisations))
	t.byService = make(map[string]int, len(t.services))
	t.byModel = make(map[string]int)
	t.byBackend = make(map[string]int, len(t.backends))
	t.byEngines = make(map[string][]int)
	t.byProvider = make(map[string][]int)
	for i, o := range t.organisations {
		c.indexName(t.byOrg, o.Name, i, "organisations")
		for j, hash := range o.TokenHashes {
			if owner, taken := t.tokens[hash]; taken {
				c.add(fmt.Sprintf("organisations[%d].token_sha256[%d]", i, j),
					"token stands twice, first at organisation "+t.organisations[owner].Name, "give each organisation its own token")
			}
			t.tokens[hash] = i
		}
	}
	for i, s := range t.services {
		c.indexName(t.byService, s.Name, i, "services")
		if _, taken := t.byModel[s.Model]; !taken && s.Kind == EngineKind {
			t.byModel[s.Model] = i
		}
	}
	for i, b := range t.backends {
		c.indexName(t.byBackend, b.Name, i, "backends")
		for _, model := range b.Models {
			t.byEngines[model] = append(t.byEngines[model], i)
		}
		for _, service := range b.Services {
			t.byProvider[service] = append(t.byProvider[service], i)
		}
	}
}

func (c *checker) indexName(index map[string]int, name string, i int, list string) {
	if !isName(name) {
		c.add(fmt.Sprintf("%s[%d].name", list, i), "not a name", "write 1 to 64 characters without spaces or slashes")
		return
	}
	if first, taken := index[name]; taken {
		c.add(fmt.Sprintf("%s[%d].name", list, i), fmt.Sprintf("name %s stands twice, first at %s[%d]", name, list, first), "rename one of the two")
		return
	}
	index[name] = i
}

func isName(name string) bool {
	return name != "" && len(name) <= maxNameLen && !strings.ContainsAny(name, " /\t\r\n")
}

func (c *checker) checkOrganisations() {
	for i := range c.text.organisations {
		c.checkOrganisation(i)
	}
}

func (c *checker) checkOrganisation(i int) {
	o := &c.text.organisations[i]
	if len(o.TokenHashes) == 0 {
		c.add(fmt.Sprintf("organisations[%d].token_sha256", i), "no token", "add the SHA-256 of at least one token")
	}
	for j, hash := range o.TokenHashes {
		if len(hash) != hashLen || strings.Trim(hash, "0123456789abcdef") != "" {
			c.add(fmt.Sprintf("organisations[%d].token_sha256[%d]", i, j), "not a SHA-256 sum", "write 64 lower-case hexadecimal digits")
		}
	}
	if limit := ranges["organisations.share"]; o.Share < limit.Low || o.Share > limit.High {
		c.checkRange(fmt.Sprintf("organisations[%d]", i), "organisations.share", o.Share)
	}
	if o.RequestsPerSecond != 0 || o.Concurrency != 0 {
		c.checkLimits(fmt.Sprintf("organisations[%d]", i), o.RequestsPerSecond, o.Concurrency)
	}
	for j, name := range o.Services {
		if _, ok := c.text.byService[name]; !ok {
			c.add(fmt.Sprintf("organisations[%d].services[%d]", i, j), "unknown service "+name, "name a service of this text")
		}
	}
}

// checkLimits checks limits of which 0 means none.
func (c *checker) checkLimits(at string, rate float64, concurrency int) {
	if rate < 0 || math.IsInf(rate, 0) {
		c.add(at+".requests_per_second", "limit out of range", "write 0 for no limit, or a rate above 0")
	}
	if concurrency < 0 {
		c.add(at+".concurrency", "limit out of range", "write 0 for no limit, or 1 or more")
	}
}

func (c *checker) checkServices() {
	for i := range c.text.services {
		s, at := &c.text.services[i], fmt.Sprintf("services[%d]", i)
		c.checkKind(s, at)
		c.checkRepetition(s, at)
		c.checkRanges(s, at)
		c.checkTimes(s, at)
		for j, name := range s.DependsOn {
			if _, ok := c.text.byService[name]; !ok {
				c.add(fmt.Sprintf("%s.depends_on[%d]", at, j), "unknown service "+name, "name a service of this text")
			}
		}
	}
}

func (c *checker) checkKind(s *Service, at string) {
	switch s.Kind {
	case EngineKind:
		if s.Model == "" {
			c.add(at+".model", "engine service without a model", "name the model its engines hold")
		}
	case PlainKind:
		if s.Model != "" || s.Adapter != "" || s.Version != "" {
			c.add(at+".model", "plain service with a model, adapter or version", "remove it, or set kind to engine")
		}
	default:
		c.add(at+".kind", "unknown kind", `write "engine" or "plain"`)
	}
	if s.Urgency != "online" && s.Urgency != "batch" {
		c.add(at+".urgency", "unknown urgency", `write "online" or "batch"`)
	}
}

// checkRepetition checks what a service says on running a call twice.
func (c *checker) checkRepetition(s *Service, at string) {
	if s.Kind == EngineKind && !s.Idempotent {
		c.add(at+".idempotent", "engine service that is not idempotent", "set idempotent to true")
	}
	if s.Urgency == "batch" && !s.Idempotent {
		c.add(at+".idempotent", "batch service that is not idempotent", "set idempotent to true, or urgency to online")
	}
	if !s.Idempotent && s.Retries > 0 {
		c.add(at+".retries", "retries on a service that is not idempotent", "remove retries, or set idempotent if a call may run twice")
	}
	if !s.Idempotent && !s.Durable {
		c.add(at+".durable", "a service that is not idempotent needs a record", "set durable to true")
	}
}

func (c *checker) checkRanges(s *Service, at string) {
	c.checkRange(at, "services.weight", s.Weight)
	c.checkRange(at, "services.retries", s.Retries)
	c.checkRange(at, "services.deadline_ms", s.DeadlineMS)
	c.checkRange(at, "services.keep_hours", s.KeepHours)
	c.checkRange(at, "services.due_hours", s.DueHours)
	c.checkRange(at, "services.queue_limit", s.QueueLimit)
	c.checkRange(at, "services.max_body_kb", s.MaxBodyKB)
	c.checkLimits(at, s.RequestsPerSecond, s.Concurrency)
}

// checkRange checks a whole number of the object at against its field's limits.
func (c *checker) checkRange(at, field string, value int) {
	limit := ranges[field]
	if value < limit.Low || value > limit.High {
		_, name, _ := cutLast(field)
		c.add(at+"."+name, fmt.Sprintf("%d is out of range", value), fmt.Sprintf("write %d to %d", limit.Low, limit.High))
	}
}

// checkTimes refuses silences that are longer than the whole answer may take.
func (c *checker) checkTimes(s *Service, at string) {
	if s.FirstByteMS < 1 || s.FirstByteMS > s.DeadlineMS {
		c.add(at+".first_byte_ms", fmt.Sprintf("first byte after %d ms and a deadline of %d ms", s.FirstByteMS, s.DeadlineMS), "write 1 up to deadline_ms")
	}
	if s.ProgressMS < 1 || s.ProgressMS > s.DeadlineMS {
		c.add(at+".progress_ms", fmt.Sprintf("progress within %d ms and a deadline of %d ms", s.ProgressMS, s.DeadlineMS), "write 1 up to deadline_ms")
	}
}

func (c *checker) checkBackends() {
	for i := range c.text.backends {
		b, at := &c.text.backends[i], fmt.Sprintf("backends[%d]", i)
		if !isAddress(b.Address) {
			c.add(at+".address", "not an address", "write IP:PORT")
		}
		if !isName(b.Zone) {
			c.add(at+".zone", "no availability zone", "name the zone the server stands in")
		}
		c.checkRange(at, "backends.slots", b.Slots)
		c.checkBackendKind(b, at)
		for j, name := range b.Services {
			if s, ok := c.text.Service(name); !ok || s.Kind != PlainKind {
				c.add(fmt.Sprintf("%s.services[%d]", at, j), "no plain service "+name, "name a plain service of this text")
			}
		}
	}
}

func (c *checker) checkBackendKind(b *Backend, at string) {
	switch b.Kind {
	case EngineKind:
		if len(b.Models) == 0 {
			c.add(at+".models", "engine without a model", "name at least one model")
		}
		if len(b.Services) > 0 {
			c.add(at+".services", "engine with plain services", "remove services, or set kind to plain")
		}
	case PlainKind:
		if len(b.Services) == 0 {
			c.add(at+".services", "server without a service", "name at least one plain service")
		}
		if len(b.Models) > 0 {
			c.add(at+".models", "plain server with models", "remove models, or set kind to engine")
		}
	default:
		c.add(at+".kind", "unknown kind", `write "engine" or "plain"`)
	}
}

func isAddress(address string) bool {
	ip, port, err := net.SplitHostPort(address)
	if err != nil || net.ParseIP(ip) == nil {
		return false
	}
	number, err := strconv.Atoi(port)
	return err == nil && number >= 1 && number <= maxPort
}

// checkCycles refuses services that depend on themselves, directly or not.
func (c *checker) checkCycles() {
	w := &cycleWalker{text: c.text, closed: make([]bool, len(c.text.services))}
	for i := range c.text.services {
		if cycle := w.visit(i); cycle != nil {
			c.add(fmt.Sprintf("services[%d].depends_on", c.text.byService[cycle[0]]),
				"dependency cycle "+strings.Join(cycle, " -> "), "remove one dependency of the cycle")
			return
		}
	}
}

// cycleWalker finds a cycle by depth-first search.
type cycleWalker struct {
	text *Text
	// closed marks the services from which no cycle can be reached.
	closed []bool
	path   []string
}

// visit returns the names of a cycle that service i leads to, the first name
// also last; nil for none.
func (w *cycleWalker) visit(i int) []string {
	s := &w.text.services[i]
	for j, name := range w.path {
		if name == s.Name {
			return append(append([]string(nil), w.path[j:]...), name)
		}
	}
	if w.closed[i] {
		return nil
	}
	w.path = append(w.path, s.Name)
	for _, name := range s.DependsOn {
		next, ok := w.text.byService[name]
		if !ok {
			continue
		}
		if cycle := w.visit(next); cycle != nil {
			return cycle
		}
	}
	w.path = w.path[:len(w.path)-1]
	w.closed[i] = true
	return nil
}

// warn gathers what is allowed but rarely meant. A service without a back end
// is allowed, since an operator must be able to take out its last one.
func (c *checker) warn() {
	t := c.text
	for i := range t.services {
		if len(t.ServingBackends(&t.services[i])) == 0 {
			c.warning(fmt.Sprintf("services[%d]", i), "service "+t.services[i].Name+" has no back end", "its callers are refused until one is added")
		}
	}
	seen := make(map[string]string, len(t.backends))
	for i, b := range t.backends {
		if other, taken := seen[b.Address]; taken {
			c.warning(fmt.Sprintf("backends[%d].address", i), "address of back end "+other+" too", "its slots count twice; remove one of the two")
		}
		seen[b.Address] = b.Name
	}
	for _, o := range t.organisations {
		if o.Operator {
			return
		}
	}
	c.warning("organisations", "no organisation is an operator", "nobody can change the text after this; set operator on one")
}

func (c *checker) warning(field, fault, remedy string) {
	c.text.warnings = append(c.text.warnings, c.problem(field, fault, remedy))
}
