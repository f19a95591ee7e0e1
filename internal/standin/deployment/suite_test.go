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

// patience bounds every wait of this suite; it is no statement on speed.
const patience = 60 * time.Second

// start runs a deployment for one spec.
func start(o deployment.Options) *deployment.Deployment {
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	d, err := deployment.Start(ctx, o)
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(d.Close)
	return d
}
