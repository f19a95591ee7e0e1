package cause_test

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestCause(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "cause")
}
