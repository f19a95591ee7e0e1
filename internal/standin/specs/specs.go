// Package specs runs a package's specs with fixed seeds, so that a suite gives
// the same verdict each time.
package specs

import (
	"flag"
	"testing"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"
	_ "pgregory.net/rapid" // defines the flag
)

// The seed also holds for tests of a suite that are no specs.
func init() {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
}

// Run runs the specs of a suite.
func Run(t *testing.T, suite string) {
	gomega.RegisterFailHandler(ginkgo.Fail)
	config, reporter := ginkgo.GinkgoConfiguration()
	config.RandomSeed = 1
	ginkgo.RunSpecs(t, suite, config, reporter)
}
