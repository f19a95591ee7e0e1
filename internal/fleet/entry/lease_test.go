package entry

import (
	"context"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/kingcupquay/kingcupquay/internal/fleet/setup"
	"github.com/kingcupquay/kingcupquay/internal/fleet/timer"
	"github.com/kingcupquay/kingcupquay/internal/record/store"
	"github.com/kingcupquay/kingcupquay/internal/standin/platform"
)

var _ = Describe("a host that reads the signs of life of others", func() {
	It("leaves out those without an address, and logs each once", func() {
		var lines []string
		clock := timer.NewManual(time.Unix(1000, 0))
		kv := platform.NewKV(clock)
		h := New(&setup.Entry{Name: "A", Zone: "a", PeerAddress: "10.0.0.9:1"}, capture(&lines), clock, Adapter{Store: kv})
		put := func(host, address string) {
			_, err := kv.Commit(context.Background(), store.Txn{Puts: []store.Put{{Key: hostPrefix + host, Value: []byte(address)}}})
			Expect(err).NotTo(HaveOccurred())
		}
		put("B", "10.0.0.1:1")
		for host, address := range map[string]string{"C": "host-c:1", "D": "10.0.0.1:99999", "E": "", "F": "\xff", "G": ":1", "H": strings.Repeat("1", 100_000)} {
			put(host, address)
		}
		for range 10 {
			h.discoverHosts()
		}
		Expect(h.members.Targets(clock.Now()).OnChange).To(Equal([]string{"10.0.0.1:1"}))
		Expect(lines).To(HaveLen(6))
		Expect(lines).To(HaveEach(And(ContainSubstring("address can't be used"), WithTransform(func(line string) int { return len(line) }, BeNumerically("<", 500)))))
	})
})
