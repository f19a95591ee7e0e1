package host

import "github.com/kingcupquay/kingcupquay/internal/record/store"

// storeRates are the calls a second that the deployment's hosts make to the
// platform's store together; each live host has an equal share.
var storeRates = store.Rates{Reads: 1800, Writes: 400}
