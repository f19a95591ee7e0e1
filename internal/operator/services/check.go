package services

import (
	"fmt"
	"math"
	"net"
	"strconv"
	"strings"
)

// checker fills in the defaults of a decoded text, builds its indexes and
// collects its problems and warnings.
type checker struct {
	text   *Text
	source []byte
	// lines is built at the first problem or warning; a text without any does
	// not need it.
	lines    *lineIndex
	problems Problems
}

func (c *checker) run() {
	c.fillDefaults()
	c.buildIndexes()
	c.checkOrganisations()
	c.checkServices()
	c.checkBackends()
	c.checkCycles()
	c.collectWarnings()
}

func (c *checker) newProblem(field, fault, remedy string) Problem {
	if c.lines == nil {
		c.lines = newLineIndex(c.source)
	}
	return Problem{Line: c.lines.line(field), Field: field, Fault: fault, Remedy: remedy}
}

func (c *checker) addProblem(field, fault, remedy string) {
	c.problems = append(c.problems, c.newProblem(field, fault, remedy))
}

func (c *checker) fillDefaults() {
	for i := range c.text.organisations {
		setDefault(&c.text.organisations[i].Share, fieldRanges["organisations.share"].Default)
	}
	for i := range c.text.services {
		s := &c.text.services[i]
		setDefault(&s.DeadlineMS, fieldRanges["services.deadline_ms"].Default)
		setDefault(&s.FirstByteMS, min(fieldRanges["services.first_byte_ms"].Default, max(1, s.DeadlineMS)))
		setDefault(&s.ProgressMS, min(fieldRanges["services.progress_ms"].Default, max(1, s.DeadlineMS)))
		setDefault(&s.KeepHours, fieldRanges["services.keep_hours"].Default)
		setDefault(&s.DueHours, fieldRanges["services.due_hours"].Default)
		setDefault(&s.QueueLimit, fieldRanges["services.queue_limit"].Default)
		setDefault(&s.MaxBodyKB, fieldRanges["services.max_body_kb"].Default)
	}
	for i := range c.text.backends {
		setDefault(&c.text.backends[i].Slots, fieldRanges["backends.slots"].Default)
	}
}

func setDefault(field *int, value int) {
	if *field == 0 {
		*field = value
	}
}

func (c *checker) buildIndexes() {
	t := c.text
	t.organisationByToken = make(map[string]int, len(t.organisations))
	t.organisationByName = make(map[string]int, len(t.organisations))
	t.serviceByName = make(map[string]int, len(t.services))
	t.serviceByModel = make(map[string]int)
	t.backendByName = make(map[string]int, len(t.backends))
	t.enginesByModel = make(map[string][]int)
	t.serversByService = make(map[string][]int)
	for i, o := range t.organisations {
		c.indexName(t.organisationByName, o.Name, i, "organisations")
		for j, hash := range o.TokenHashes {
			if owner, exists := t.organisationByToken[hash]; exists {
				c.addProblem(fmt.Sprintf("organisations[%d].token_sha256[%d]", i, j),
					"token stands twice, first at organisation "+t.organisations[owner].Name, "give each organisation its own token")
			}
			t.organisationByToken[hash] = i
		}
	}
	for i, s := range t.services {
		c.indexName(t.serviceByName, s.Name, i, "services")
		if _, exists := t.serviceByModel[s.Model]; !exists && s.Kind == EngineKind {
			t.serviceByModel[s.Model] = i
		}
	}
	for i, b := range t.backends {
		c.indexName(t.backendByName, b.Name, i, "backends")
		for _, model := range b.Models {
			t.enginesByModel[model] = append(t.enginesByModel[model], i)
		}
		for _, service := range b.Services {
			t.serversByService[service] = append(t.serversByService[service], i)
		}
	}
}

func (c *checker) indexName(index map[string]int, name string, i int, list string) {
	if !validName(name) {
		c.addProblem(fmt.Sprintf("%s[%d].name", list, i), "not a name", "write 1 to 64 characters without spaces or slashes")
		return
	}
	if first, exists := index[name]; exists {
		c.addProblem(fmt.Sprintf("%s[%d].name", list, i), fmt.Sprintf("name %s stands twice, first at %s[%d]", name, list, first), "rename one of the two")
		return
	}
	index[name] = i
}

func validName(name string) bool {
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
		c.addProblem(fmt.Sprintf("organisations[%d].token_sha256", i), "no token", "add the SHA-256 of at least one token")
	}
	for j, hash := range o.TokenHashes {
		if len(hash) != tokenHashLen || strings.Trim(hash, "0123456789abcdef") != "" {
			c.addProblem(fmt.Sprintf("organisations[%d].token_sha256[%d]", i, j), "not a SHA-256 sum", "write 64 lower-case hexadecimal digits")
		}
	}
	if bounds := fieldRanges["organisations.share"]; o.Share < bounds.Low || o.Share > bounds.High {
		c.checkRange(fmt.Sprintf("organisations[%d]", i), "organisations.share", o.Share)
	}
	if o.RequestsPerSecond != 0 || o.Concurrency != 0 {
		c.checkLimits(fmt.Sprintf("organisations[%d]", i), o.RequestsPerSecond, o.Concurrency)
	}
	for j, name := range o.Services {
		if _, ok := c.text.serviceByName[name]; !ok {
			c.addProblem(fmt.Sprintf("organisations[%d].services[%d]", i, j), "unknown service "+name, "name a service of this text")
		}
	}
}

// checkLimits checks the limits for which 0 means unlimited.
func (c *checker) checkLimits(path string, rate float64, concurrency int) {
	if rate < 0 || math.IsInf(rate, 0) {
		c.addProblem(path+".requests_per_second", "limit out of range", "write 0 for no limit, or a rate above 0")
	}
	if concurrency < 0 {
		c.addProblem(path+".concurrency", "limit out of range", "write 0 for no limit, or 1 or more")
	}
}

func (c *checker) checkServices() {
	for i := range c.text.services {
		s, path := &c.text.services[i], fmt.Sprintf("services[%d]", i)
		c.checkKind(s, path)
		c.checkIdempotence(s, path)
		c.checkRanges(s, path)
		c.checkTimeouts(s, path)
		for j, name := range s.DependsOn {
			if _, ok := c.text.serviceByName[name]; !ok {
				c.addProblem(fmt.Sprintf("%s.depends_on[%d]", path, j), "unknown service "+name, "name a service of this text")
			}
		}
	}
}

func (c *checker) checkKind(s *Service, path string) {
	switch s.Kind {
	case EngineKind:
		if s.Model == "" {
			c.addProblem(path+".model", "engine service without a model", "name the model its engines hold")
		}
	case PlainKind:
		if s.Model != "" || s.Adapter != "" || s.Version != "" {
			c.addProblem(path+".model", "plain service with a model, adapter or version", "remove it, or set kind to engine")
		}
	default:
		c.addProblem(path+".kind", "unknown kind", `write "engine" or "plain"`)
	}
	if s.Urgency != "online" && s.Urgency != "batch" {
		c.addProblem(path+".urgency", "unknown urgency", `write "online" or "batch"`)
	}
}

// checkIdempotence checks that the settings of a service agree on whether a
// call may run twice.
func (c *checker) checkIdempotence(s *Service, path string) {
	if s.Kind == EngineKind && !s.Idempotent {
		c.addProblem(path+".idempotent", "engine service that is not idempotent", "set idempotent to true")
	}
	if s.Urgency == "batch" && !s.Idempotent {
		c.addProblem(path+".idempotent", "batch service that is not idempotent", "set idempotent to true, or urgency to online")
	}
	if !s.Idempotent && s.Retries > 0 {
		c.addProblem(path+".retries", "retries on a service that is not idempotent", "remove retries, or set idempotent if a call may run twice")
	}
	if !s.Idempotent && !s.Durable {
		c.addProblem(path+".durable", "a service that is not idempotent needs a record", "set durable to true")
	}
}

func (c *checker) checkRanges(s *Service, path string) {
	c.checkRange(path, "services.weight", s.Weight)
	c.checkRange(path, "services.retries", s.Retries)
	c.checkRange(path, "services.deadline_ms", s.DeadlineMS)
	c.checkRange(path, "services.keep_hours", s.KeepHours)
	c.checkRange(path, "services.due_hours", s.DueHours)
	c.checkRange(path, "services.queue_limit", s.QueueLimit)
	c.checkRange(path, "services.max_body_kb", s.MaxBodyKB)
	c.checkLimits(path, s.RequestsPerSecond, s.Concurrency)
}

// checkRange checks value, an integer field of the object at path, against the
// limits in fieldRanges[field].
func (c *checker) checkRange(path, field string, value int) {
	bounds := fieldRanges[field]
	if value < bounds.Low || value > bounds.High {
		_, name, _ := splitLastName(field)
		c.addProblem(path+"."+name, fmt.Sprintf("%d is out of range", value), fmt.Sprintf("write %d to %d", bounds.Low, bounds.High))
	}
}

// checkTimeouts checks that the first-byte and progress timeouts lie between
// 1 ms and the deadline.
func (c *checker) checkTimeouts(s *Service, path string) {
	if s.FirstByteMS < 1 || s.FirstByteMS > s.DeadlineMS {
		c.addProblem(path+".first_byte_ms", fmt.Sprintf("first byte after %d ms and a deadline of %d ms", s.FirstByteMS, s.DeadlineMS), "write 1 up to deadline_ms")
	}
	if s.ProgressMS < 1 || s.ProgressMS > s.DeadlineMS {
		c.addProblem(path+".progress_ms", fmt.Sprintf("progress within %d ms and a deadline of %d ms", s.ProgressMS, s.DeadlineMS), "write 1 up to deadline_ms")
	}
}

func (c *checker) checkBackends() {
	for i := range c.text.backends {
		b, path := &c.text.backends[i], fmt.Sprintf("backends[%d]", i)
		if !validAddress(b.Address) {
			c.addProblem(path+".address", "not an address", "write IP:PORT")
		}
		if !validName(b.Zone) {
			c.addProblem(path+".zone", "no availability zone", "name the zone the server stands in")
		}
		c.checkRange(path, "backends.slots", b.Slots)
		c.checkBackendKind(b, path)
		for j, name := range b.Services {
			if s, ok := c.text.Service(name); !ok || s.Kind != PlainKind {
				c.addProblem(fmt.Sprintf("%s.services[%d]", path, j), "no plain service "+name, "name a plain service of this text")
			}
		}
	}
}

func (c *checker) checkBackendKind(b *Backend, path string) {
	switch b.Kind {
	case EngineKind:
		if len(b.Models) == 0 {
			c.addProblem(path+".models", "engine without a model", "name at least one model")
		}
		if len(b.Services) > 0 {
			c.addProblem(path+".services", "engine with plain services", "remove services, or set kind to plain")
		}
	case PlainKind:
		if len(b.Services) == 0 {
			c.addProblem(path+".services", "server without a service", "name at least one plain service")
		}
		if len(b.Models) > 0 {
			c.addProblem(path+".models", "plain server with models", "remove models, or set kind to engine")
		}
	default:
		c.addProblem(path+".kind", "unknown kind", `write "engine" or "plain"`)
	}
}

func validAddress(address string) bool {
	ip, port, err := net.SplitHostPort(address)
	if err != nil || net.ParseIP(ip) == nil {
		return false
	}
	portNumber, err := strconv.Atoi(port)
	return err == nil && portNumber >= 1 && portNumber <= maxPort
}

// checkCycles rejects services that depend on themselves, directly or
// indirectly.
func (c *checker) checkCycles() {
	finder := &cycleFinder{text: c.text, finished: make([]bool, len(c.text.services))}
	for i := range c.text.services {
		if cycle := finder.visit(i); cycle != nil {
			c.addProblem(fmt.Sprintf("services[%d].depends_on", c.text.serviceByName[cycle[0]]),
				"dependency cycle "+strings.Join(cycle, " -> "), "remove one dependency of the cycle")
			return
		}
	}
}

// cycleFinder finds a cycle by depth-first search.
type cycleFinder struct {
	text *Text
	// finished marks the services from which no cycle is reachable.
	finished []bool
	path     []string
}

// visit returns a cycle reachable from service i as a list of names that ends
// with its first name, or nil if there is none.
func (f *cycleFinder) visit(i int) []string {
	s := &f.text.services[i]
	for j, name := range f.path {
		if name == s.Name {
			return append(append([]string(nil), f.path[j:]...), name)
		}
	}
	if f.finished[i] {
		return nil
	}
	f.path = append(f.path, s.Name)
	for _, name := range s.DependsOn {
		next, ok := f.text.serviceByName[name]
		if !ok {
			continue
		}
		if cycle := f.visit(next); cycle != nil {
			return cycle
		}
	}
	f.path = f.path[:len(f.path)-1]
	f.finished[i] = true
	return nil
}

// collectWarnings records settings that are valid but rarely intended. A
// service without a backend server is valid because an operator must be able to
// remove its last one.
func (c *checker) collectWarnings() {
	t := c.text
	for i := range t.services {
		if len(t.ServingBackends(&t.services[i])) == 0 {
			c.addWarning(fmt.Sprintf("services[%d]", i), "service "+t.services[i].Name+" has no back end", "its callers are refused until one is added")
		}
	}
	nameByAddress := make(map[string]string, len(t.backends))
	for i, b := range t.backends {
		if other, exists := nameByAddress[b.Address]; exists {
			c.addWarning(fmt.Sprintf("backends[%d].address", i), "address of back end "+other+" too", "its slots count twice; remove one of the two")
		}
		nameByAddress[b.Address] = b.Name
	}
	for _, o := range t.organisations {
		if o.Operator {
			return
		}
	}
	c.addWarning("organisations", "no organisation is an operator", "nobody can change the text after this; set operator on one")
}

func (c *checker) addWarning(field, fault, remedy string) {
	c.text.warnings = append(c.text.warnings, c.newProblem(field, fault, remedy))
}
