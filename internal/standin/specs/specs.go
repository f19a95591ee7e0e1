// Package specs runs Ginkgo suites and rapid property tests with fixed random
// seeds, so that every run of a suite makes the same random choices.
package specs

import (
	"flag"
	"testing"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"
	_ "pgregory.net/rapid" // defines the flag rapid.seed
)

// init sets the seed of all rapid tests, including those outside Ginkgo specs.
func init() {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
}

// KnownRed labels specs that fail for a fault listed in KNOWN-RED.txt. They run
// only if a label filter is given.
const KnownRed = "known-red"

// Run runs the specs of the calling package under the given suite name.
func Run(t *testing.T, suite string) {
	gomega.RegisterFailHandler(ginkgo.Fail)
	config, reporter := ginkgo.GinkgoConfiguration()
	config.RandomSeed = 1
	if config.LabelFilter == "" {
		config.LabelFilter = "!" + KnownRed
	}
	ginkgo.RunSpecs(t, suite, config, reporter)
}
