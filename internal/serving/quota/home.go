package quota

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"github.com/kingcupquay/kingcupquay/internal/serving/limit"
)

const (
	// rememberPeriod is for how long a grant is remembered, so that a repeated ask is not
	// charged twice and a returned token is taken back once.
	rememberPeriod = 10 * time.Second
	// maxGrants bounds the remembered grants. Older ones are forgotten first.
	maxGrants = 16 << 10
	// maxGap is the longest time between two calls of an active home. After a longer one,
	// in which the process was frozen, another host may have become the home.
	maxGap = time.Second
	// sweepInterval is the time between two removals of idle full buckets.
	sweepInterval = time.Second
	// A home asks other homes for tokens if its bucket holds less than lowPart of its
	// size or less than lowTokens. Of its own it keeps what its zone is expected to need
	// within keepPeriod, up to keepPart of the size. A fixed part would lock up the few
	// tokens of a small organisation in zones that none of its callers uses.
	lowPart    = 0.5
	lowTokens  = 2
	keepPart   = 0.5
	keepPeriod = 250 * time.Millisecond
	// minShared is the least size of a bucket of a part of a limit, in tokens.
	minShared = 2
	// usePeriod is the time over which the use of tokens is averaged.
	usePeriod = 2 * time.Second
	// An ask that finds too few tokens waits deferPeriod for those of other homes, which
	// is less than hosts wait for an answer. Up to maxDeferred asks of an organisation wait.
	deferPeriod = 8 * time.Millisecond
	maxDeferred = 32
	// moveSpacing is the least time between two asks of other homes for tokens of an
	// organisation, emptySpacing if the last ones brought nothing.
	moveSpacing  = 20 * time.Millisecond
	emptySpacing = 100 * time.Millisecond
	// movePeriod is how long an answer to such an ask is awaited.
	movePeriod = time.Second
	// maxMoves is for how many organisations tokens are asked for at a time.
	maxMoves = 8
	// minRetryAfter and maxRetryAfter bound the time after which a refused caller may
	// come back.
	minRetryAfter = 20 * time.Millisecond
	maxRetryAfter = 2 * time.Second
)

// Home keeps the token buckets of the limits.
type Home struct {
	tolerance Tolerance
	limits    func(organisation string) (Limit, bool)

	// part is the part of each limit that this host is the home of, 0 if it is no home.
	// since is when it became the home, touched when it last was called.
	part           float64
	since, touched time.Time
	swept          time.Time

	buckets map[string]*bucket
	grants  map[grantKey]*grant
	// order holds the keys of grants, the oldest first.
	order []grantKey

	lastMove uint64
	moves    map[uint64]move
	// deferred is the number of asks that wait.
	deferred int
}

// bucket is the bucket of an organisation.
type bucket struct {
	tokens limit.Tokens
	limit  Limit
	// limited is not set if the configuration in force has no limit for the organisation.
	// The level is then the number of tokens that are missing from a full bucket, below
	// zero: hosts that know a newer configuration may ask for tokens already, and the
	// organisation may come back.
	limited bool
	// withheld is the number of tokens that the bucket would have besides if it had been
	// full when this host became the home.
	withheld float64
	// used is when the organisation was last asked for.
	used time.Time
	// movedAt is when other homes were last asked for tokens, and empty is set if they gave
	// none since. awaited is the number of their answers that are awaited.
	movedAt time.Time
	empty   bool
	awaited int
	// turn is the index of the home that is asked first the next time.
	turn int
	// waiting are the asks that wait for these answers.
	waiting []waitingAsk
	// perSecond is the average number of tokens that hosts took in a second, at the time
	// tookAt.
	perSecond float64
	tookAt    time.Time
}

type waitingAsk struct {
	ask Ask
	at  time.Time
}

// use returns the average number of tokens that hosts take in a second.
func (b *bucket) use(now time.Time) float64 {
	return b.perSecond * math.Exp(-now.Sub(b.tookAt).Seconds()/usePeriod.Seconds())
}

// take takes tokens for a host.
func (b *bucket) take(now time.Time, tokens int) {
	b.tokens.Level -= float64(tokens)
	b.perSecond, b.tookAt = b.use(now)+float64(tokens)/usePeriod.Seconds(), now
}

type grantKey struct {
	host   string
	start  int64
	number uint64
}

type grant struct {
	organisation string
	tokens       int
	at           time.Time
	returned     bool
}

// move is an ask of another home that waits for its answer.
type move struct {
	organisation string
	at           time.Time
}

// Move is an ask for tokens to be sent to the home of another zone.
type Move struct {
	Home string
	Ask  Ask
}

// NewHome returns a home of no limits. limits tells the limit of an organisation; it
// returns false if it has none.
func NewHome(t Tolerance, limits func(organisation string) (Limit, bool)) *Home {
	return &Home{tolerance: t, limits: limits, buckets: make(map[string]*bucket), grants: make(map[grantKey]*grant), moves: make(map[uint64]move)}
}

// Len returns the number of buckets held.
func (h *Home) Len() int { return len(h.buckets) }

// Active reports whether the host is a home.
func (h *Home) Active() bool { return h.part > 0 }

func (h *Home) rate(l Limit) float64 { return l.Rate * h.part }

// size returns the size of a bucket. It is at least one token, as a smaller bucket would
// never admit a request, or two if tokens come from other homes, as most of these would be
// lost.
func (h *Home) size(l Limit) float64 {
	least := 1.0
	if h.part < 1 {
		least = minShared
	}
	return max(least, (l.Burst+sizeShare*h.tolerance.slack(l))*h.part)
}

func (h *Home) refill(now time.Time, b *bucket) {
	if !b.limited {
		return
	}
	full := limit.Tokens{Level: b.tokens.Level + b.withheld, Updated: b.tokens.Updated}
	b.tokens.Refill(now, h.rate(b.limit), h.size(b.limit))
	full.Refill(now, h.rate(b.limit), h.size(b.limit))
	b.withheld = full.Level - b.tokens.Level
	if b.withheld > 0 && now.Sub(h.since) >= h.tolerance.Window {
		b.tokens.Level, b.withheld = full.Level, 0
	}
}

// SetPart sets the part of each limit that this host is the home of, and reports whether
// it became or ceased to be a home. A new home does not know what the last one gave. Its
// buckets start with a few tokens, and with no more than they had if it was the home
// before. A window later no window has both what the last home gave and what is added then,
// and each bucket gets the tokens that it would have if it had been full at the start.
func (h *Home) SetPart(now time.Time, part float64) (changed bool) {
	h.touch(now)
	if part == h.part {
		return false
	}
	changed = (part > 0) != (h.part > 0)
	if h.part > 0 {
		for _, b := range h.buckets {
			h.refill(now, b)
		}
	}
	began := h.part == 0
	h.part = part
	if part == 0 {
		return changed
	}
	if began {
		h.since = now
	}
	for _, b := range h.buckets {
		switch {
		case !b.limited:
		case began:
			b.tokens = limit.Tokens{Level: min(b.tokens.Level, h.start(b.limit)), Updated: now}
			b.withheld = h.size(b.limit) - b.tokens.Level
		default:
			h.refill(now, b)
		}
	}
	return changed
}

func (h *Home) start(l Limit) float64 { return startShare * h.tolerance.slack(l) * h.part }

// touch ends the role of a home that was not called for long. What its buckets would have
// gained meanwhile, another home may have given.
func (h *Home) touch(now time.Time) {
	if h.part > 0 && now.Sub(h.touched) > maxGap {
		h.part = 0
	}
	h.touched = now
}

// ApplyLimits applies changed limits to the buckets.
func (h *Home) ApplyLimits(now time.Time) {
	for name, b := range h.buckets {
		l, limited := h.limits(name)
		if limited == b.limited && l == b.limit {
			continue
		}
		if h.part > 0 {
			h.refill(now, b)
		}
		switch {
		case limited && b.limited:
		case limited:
			b.tokens = limit.Tokens{Level: h.size(l) + b.tokens.Level, Updated: now}
		default:
			b.tokens.Level = min(0, b.tokens.Level-h.size(b.limit))
		}
		b.limit, b.limited = l, limited
	}
}

// bucket returns the refilled bucket of an organisation. One that was not used since this
// host became the home has filled up since then.
func (h *Home) bucket(now time.Time, organisation string) *bucket {
	b := h.buckets[organisation]
	if b == nil {
		b = &bucket{}
		if b.limit, b.limited = h.limits(organisation); b.limited {
			b.tokens = limit.Tokens{Level: h.start(b.limit), Updated: h.since}
			b.withheld = h.size(b.limit) - b.tokens.Level
		}
		h.buckets[organisation] = b
	}
	h.refill(now, b)
	b.used = now
	return b
}

// Reply is the answer to a deferred ask.
type Reply struct {
	Ask    Ask
	Answer Answer
}

// Ask takes tokens from the bucket of an organisation. If there are too few, homes are the
// homes of other zones, and moves has to be sent to them. The ask may then be deferred:
// Moved or Expire answers it.
func (h *Home) Ask(now time.Time, a Ask, homes []string) (answer Answer, moves []Move, deferred bool) {
	h.touch(now)
	answer.Number = a.Number
	if h.part == 0 {
		answer.NotHome = true
		return answer, nil, false
	}
	key := grantKey{a.Host, a.Start, a.Number}
	if g := h.grants[key]; g != nil {
		answer.Tokens = g.tokens
		return answer, nil, false
	}
	b := h.bucket(now, a.Organisation)
	if a.FromHome {
		if answer.Tokens = min(a.Tokens, h.spare(now, b)); answer.Tokens > 0 {
			b.tokens.Level -= float64(answer.Tokens)
			h.remember(now, key, a.Organisation, answer.Tokens)
		}
		return answer, nil, false
	}
	granted := len(b.waiting) == 0 && h.grant(now, b, a, &answer)
	moves = h.Moves(now, homes, a.Organisation)
	if granted {
		return answer, moves, false
	}
	if b.awaited > 0 && len(b.waiting) < maxDeferred {
		if !slices.ContainsFunc(b.waiting, func(w waitingAsk) bool { return w.ask == a }) {
			b.waiting = append(b.waiting, waitingAsk{a, now})
			h.deferred++
		}
		return answer, moves, true
	}
	answer.RetryAfter = h.retryAfter(b)
	return answer, moves, false
}

// grant takes tokens for a host if there are enough.
func (h *Home) grant(now time.Time, b *bucket, a Ask, answer *Answer) bool {
	if b.limited && b.tokens.Level < float64(a.Tokens) {
		return false
	}
	b.take(now, a.Tokens)
	answer.Tokens = a.Tokens
	h.remember(now, grantKey{a.Host, a.Start, a.Number}, a.Organisation, a.Tokens)
	return true
}

func (h *Home) retryAfter(b *bucket) time.Duration {
	if h.part == 0 || !b.limited {
		return maxRetryAfter
	}
	return min(maxRetryAfter, max(minRetryAfter, b.tokens.Wait(h.rate(b.limit))))
}

// spare returns the number of tokens that a bucket can give to another home.
func (h *Home) spare(now time.Time, b *bucket) int {
	if !b.limited || len(b.waiting) > 0 {
		return 0
	}
	keep := min(keepPart*h.size(b.limit), b.use(now)*keepPeriod.Seconds())
	return int(max(0, b.tokens.Level-keep))
}

// Deferred returns the number of asks that wait for tokens of other homes.
func (h *Home) Deferred() int { return h.deferred }

// Expire answers the asks that have waited for deferPeriod.
func (h *Home) Expire(now time.Time) []Reply {
	if h.deferred == 0 {
		return nil
	}
	var replies []Reply
	for _, name := range slices.Sorted(maps.Keys(h.buckets)) {
		b := h.buckets[name]
		if len(b.waiting) > 0 && now.Sub(b.waiting[0].at) >= deferPeriod {
			b.awaited = 0
			replies = append(replies, h.answerWaiting(now, b)...)
		}
	}
	return replies
}

// answerWaiting answers the waiting asks for which there are tokens, and all if no answer
// of another home is awaited any more.
func (h *Home) answerWaiting(now time.Time, b *bucket) []Reply {
	var replies []Reply
	for len(b.waiting) > 0 {
		a := b.waiting[0].ask
		answer := Answer{Number: a.Number, NotHome: h.part == 0}
		if answer.NotHome || !h.grant(now, b, a, &answer) {
			if b.awaited > 0 && !answer.NotHome {
				break
			}
			answer.RetryAfter = h.retryAfter(b)
		}
		replies = append(replies, Reply{a, answer})
		b.waiting = b.waiting[1:]
		h.deferred--
	}
	return replies
}

func (h *Home) remember(now time.Time, key grantKey, organisation string, tokens int) {
	h.grants[key] = &grant{organisation: organisation, tokens: tokens, at: now}
	h.order = append(h.order, key)
	n := 0
	for n < len(h.order) && (len(h.order)-n > maxGrants || now.Sub(h.grants[h.order[n]].at) >= rememberPeriod) {
		delete(h.grants, h.order[n])
		n++
	}
	h.order = h.order[n:]
}

// Return takes back the token of a request that no server ran.
func (h *Home) Return(now time.Time, host string, start int64, number uint64) {
	g := h.grants[grantKey{host, start, number}]
	if g == nil || g.returned || h.part == 0 {
		return
	}
	g.returned = true
	if b := h.buckets[g.organisation]; b != nil {
		h.refill(now, b)
		b.tokens.Level += float64(g.tokens)
		if b.limited {
			b.tokens.Level = min(b.tokens.Level, h.size(b.limit))
		} else {
			b.tokens.Level = min(b.tokens.Level, 0)
		}
	}
}

func (h *Home) low(b *bucket) bool {
	size := h.size(b.limit)
	return b.limited && b.tokens.Level < max(1, min(size-1, max(lowTokens, lowPart*size)))
}

// Moves returns asks for tokens to the homes of other zones: for the given organisation if
// its bucket is low, or for those of all organisations that are and were used lately.
func (h *Home) Moves(now time.Time, homes []string, organisation string) []Move {
	if h.part == 0 || len(homes) == 0 {
		return nil
	}
	var due []string
	consider := func(name string, b *bucket) {
		spacing := moveSpacing
		if b.empty {
			spacing = emptySpacing
		}
		if now.Sub(b.used) < rememberPeriod && now.Sub(b.movedAt) >= spacing {
			if h.refill(now, b); h.low(b) {
				due = append(due, name)
			}
		}
	}
	if b := h.buckets[organisation]; b != nil {
		consider(organisation, b)
	} else if organisation == "" {
		for name, b := range h.buckets {
			consider(name, b)
		}
		slices.SortFunc(due, func(a, b string) int {
			return cmp.Or(h.buckets[a].movedAt.Compare(h.buckets[b].movedAt), cmp.Compare(a, b))
		})
	}
	var moves []Move
	for _, name := range due[:min(len(due), maxMoves)] {
		b := h.buckets[name]
		// What does not fit into the bucket would be lost.
		missing := max(1, int(h.size(b.limit)-b.tokens.Level))
		asked := len(homes)
		if b.tokens.Level >= 1 {
			asked = min(missing, asked)
		}
		b.movedAt, b.empty, b.awaited = now, true, asked
		for i := range asked {
			h.lastMove++
			number := h.lastMove | homeNumbers
			h.moves[number] = move{organisation: name, at: now}
			a := Ask{Number: number, Organisation: name, Tokens: max(1, (missing+i)/asked), FromHome: true}
			moves = append(moves, Move{Home: homes[(b.turn+i)%len(homes)], Ask: a})
		}
		b.turn = (b.turn + asked) % len(homes)
	}
	return moves
}

// homeNumbers is the bit that tells the asks of a home from those of a Holder.
const homeNumbers = 1 << 63

// IsMove reports whether an answer is one to a Move.
func IsMove(number uint64) bool { return number&homeNumbers != 0 }

// Moved adds the tokens that another home gave, and answers asks that waited for them. An
// answer counts once.
func (h *Home) Moved(now time.Time, a Answer) (tokens int, replies []Reply) {
	m, waiting := h.moves[a.Number]
	if !waiting {
		return 0, nil
	}
	delete(h.moves, a.Number)
	b := h.buckets[m.organisation]
	if b == nil {
		return 0, nil
	}
	if b.movedAt.Equal(m.at) {
		b.awaited = max(0, b.awaited-1)
	}
	if a.Tokens > 0 && h.part > 0 {
		h.refill(now, b)
		b.empty = false
		if b.limited {
			b.tokens.Level = min(h.size(b.limit), b.tokens.Level+float64(a.Tokens))
		}
		tokens = a.Tokens
	}
	return tokens, h.answerWaiting(now, b)
}

// Sweep removes buckets that a new one would equal, and asks that were not answered.
func (h *Home) Sweep(now time.Time) {
	if now.Sub(h.swept) < sweepInterval {
		return
	}
	h.swept = now
	for name, b := range h.buckets {
		idle := now.Sub(b.used) >= h.tolerance.Window
		full := !b.limited || h.part == 0 || b.tokens.At(now, h.rate(b.limit), h.size(b.limit)) >= h.size(b.limit)
		if idle && full && len(b.waiting) == 0 {
			delete(h.buckets, name)
		}
	}
	for number, m := range h.moves {
		if now.Sub(m.at) >= movePeriod {
			delete(h.moves, number)
		}
	}
}
