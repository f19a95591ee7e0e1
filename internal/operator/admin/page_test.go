package admin_test

import (
	"strings"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/kingcupquay/kingcupquay/internal/operator/admin"
	"github.com/kingcupquay/kingcupquay/internal/operator/cause"

	"github.com/kingcupquay/kingcupquay/internal/standin/specs"
)

func TestAdmin(t *testing.T) { specs.Run(t, "admin") }

var _ = Describe("the status page", func() {
	It("shows zones, backend servers, jobs and events, escaped, and loads no external resources", func() {
		at := time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)
		page := admin.Page{
			Host: "entry-1", Zone: "addis-a", At: at, Revision: 17,
			Hosts:    []admin.HostStatus{{Host: "entry-2", Zone: "addis-b", Revision: 16}},
			Backends: []admin.PageBackend{{Name: "dispatch-engine-1", Zone: "addis-a", Kind: "engine", Known: true, Running: 5, Slots: 8, Waiting: 31}},
			Jobs:     []admin.PageJob{{ID: "batch-1", Organisation: "water-agency", State: "in_progress", Completed: 12, Total: 400, Due: at}},
			Events:   []cause.Event{{At: at, Kind: "host lost", Cause: "<script>", Subjects: []string{"entry-2"}}},
		}
		body, err := page.Render()
		Expect(err).NotTo(HaveOccurred())
		html := string(body)
		for _, part := range []string{
			"Host entry-1 in zone addis-a", "revision 17", "entry-2", "not heard", "dispatch-engine-1", ">31<", "batch-1", ">12<", "host lost", "&lt;script&gt;",
		} {
			Expect(html).To(ContainSubstring(part))
		}
		for _, external := range []string{"<script", "http://", "https://", "src=", "<link", "@import", "url("} {
			Expect(strings.ToLower(html)).NotTo(ContainSubstring(external))
		}
	})
})
