package services

// Range holds the default and the limits of an integer field, in the unit of
// the field.
type Range struct {
	// Default replaces an absent or zero field. It is 0 if the field is required
	// or is disabled by default.
	Default int
	// Low and High are the inclusive limits.
	Low, High int
}

// fieldRanges maps the path of a field to its default and limits.
var fieldRanges = map[string]Range{
	"organisations.share":    {Default: 1, Low: 1, High: 1000},
	"services.weight":        {Low: 1, High: 1000},
	"services.retries":       {Low: 0, High: 5},
	"services.deadline_ms":   {Default: 60_000, Low: 1, High: 3_600_000},
	"services.first_byte_ms": {Default: 10_000, Low: 1, High: 3_600_000},
	"services.progress_ms":   {Default: 5_000, Low: 1, High: 3_600_000},
	"services.keep_hours":    {Default: 24, Low: 1, High: 8760},
	"services.due_hours":     {Default: 24, Low: 1, High: 720},
	"services.queue_limit":   {Default: 256, Low: 1, High: 100_000},
	"services.max_body_kb":   {Default: 1024, Low: 1, High: 131_072},
	"backends.slots":         {Default: 8, Low: 1, High: 4096},
}

// RangeOf returns the default and the limits of a field, given its path as
// returned by Fields.
func RangeOf(field string) (Range, bool) {
	r, ok := fieldRanges[field]
	return r, ok
}
