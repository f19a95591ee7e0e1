// Package examples holds the services texts of the two users, as examples for
// the dev command, the tests and new readers. The texts contain the SHA-256
// hashes of the tokens below, which must not be used anywhere else.
package examples

import _ "embed" // for the texts

// The bearer tokens of the examples.
const (
	AgencyCallerToken     = "agency-caller-token"
	AgencyOperatorToken   = "agency-operator-token"
	WielwerkCallerToken   = "wielwerk-caller-token"
	WielwerkOperatorToken = "wielwerk-operator-token"
)

// Agency is the services text of the Ethiopian Rural Water Storage Agency.
//
//go:embed agency.json
var Agency []byte

// Wielwerk is the services text of Wielwerk Trolleytech B.V.
//
//go:embed wielwerk.json
var Wielwerk []byte
