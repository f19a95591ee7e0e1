package deployment_test

import (
	"context"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/kingcupquay/kingcupquay/internal/standin/deployment"

	"github.com/kingcupquay/kingcupquay/internal/standin/specs"
)

func TestDeployment(t *testing.T) { specs.Run(t, "deployment") }

// waitTimeout limits every wait of this suite. It is generous and does not
// express a latency target.
const waitTimeout = 60 * time.Second

// start starts a deployment that is closed at the end of the spec.
func start(o deployment.Options) *deployment.Deployment {
	ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
	defer cancel()
	d, err := deployment.Start(ctx, o)
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(d.Close)
	return d
}
