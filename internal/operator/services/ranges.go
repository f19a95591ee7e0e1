package services

// Range is what a whole-number field may hold, in the unit of the field.
type Range struct {
	// Default stands for an absent field; 0 if the field must be written or is
	// off by default.
	Default int
	// Low and High are the limits, both allowed.
	Low, High int
}

// ranges holds the defaults and limits by the path of the field.
var ranges = map[string]Range{
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

// RangeOf returns the default and the limits of a field, by its path in Fields.
func RangeOf(field string) (Range, bool) {
	r, ok := ranges[field]
	return r, ok
}
