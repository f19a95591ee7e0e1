package notice_test

import (
	"fmt"
	"net"
	"testing"
	"time"

	"github.com/go-logr/logr"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/kingcupquay/kingcupquay/internal/fleet/notice"
	"github.com/kingcupquay/kingcupquay/internal/fleet/timer"
	"github.com/kingcupquay/kingcupquay/internal/serving/scheduler"
)

var start = time.Unix(1000, 0)

var _ = Describe("a book", func() {
	var (
		b       *notice.PeerTable
		changes []string
	)
	BeforeEach(func() {
		changes = nil
		b = notice.NewPeerTable("A", "z", "10.0.0.1:1", func(host string, live bool) { changes = append(changes, fmt.Sprint(host, live)) })
	})
	noticeFrom := func(host string, start, number int64) notice.Notice {
		return notice.Notice{Host: host, Address: "10.0.0.9:1", Start: start, Sequence: number}
	}

	It("keeps the newest notice, also across a restart, and ignores its own", func() {
		Expect(b.Apply(start, noticeFrom("B", 1, 5))).To(BeTrue())
		Expect(b.Apply(start, noticeFrom("B", 1, 4))).To(BeFalse())
		Expect(b.Apply(start, noticeFrom("B", 1, 5))).To(BeFalse())
		Expect(b.Apply(start, noticeFrom("B", 2, 1))).To(BeTrue())
		Expect(b.Apply(start, noticeFrom("B", 1, 9))).To(BeFalse())
		Expect(b.Apply(start, noticeFrom("A", 9, 9))).To(BeFalse())
	})

	It("accepts a host again whose time of day was set back before a restart", func() {
		b.Apply(start, noticeFrom("B", 9, 100))
		Expect(b.Apply(start.Add(notice.PeerTimeout), noticeFrom("B", 5, 1))).To(BeFalse())
		Expect(b.Apply(start.Add(notice.PeerTimeout+1), noticeFrom("B", 5, 2))).To(BeTrue())
		Expect(b.Apply(start.Add(notice.PeerTimeout+2), noticeFrom("B", 5, 3))).To(BeTrue())
	})

	It("reports once that a host becomes live or dead", func() {
		b.Apply(start, noticeFrom("B", 1, 1))
		b.Apply(start, noticeFrom("B", 1, 2))
		b.Expire(start.Add(notice.PeerTimeout))
		Expect(b.Alive("B")).To(BeTrue())
		b.Expire(start.Add(notice.PeerTimeout + 1))
		b.Expire(start.Add(notice.PeerTimeout + 2))
		Expect(b.Alive("B")).To(BeFalse())
		Expect(b.Live()).To(BeEmpty())
		Expect(changes).To(Equal([]string{"Btrue", "Bfalse"}))
	})

	It("sends to seeds and to addresses from notices, but not to itself or to silent addresses", func() {
		b.AddAddresses(start, "10.0.0.1:1", "10.0.0.2:1")
		n := noticeFrom("B", 1, 1)
		n.KnownAddresses = []string{"10.0.0.3:1", "10.0.0.1:1"}
		b.Apply(start, n)
		near, _ := b.Addresses()
		Expect(near).To(Equal([]string{"10.0.0.2:1", "10.0.0.3:1", "10.0.0.9:1"}))
		b.Apply(start.Add(2*time.Minute), noticeFrom("B", 1, 2))
		b.Expire(start.Add(2 * time.Minute))
		near, _ = b.Addresses()
		Expect(near).To(Equal([]string{"10.0.0.9:1"}))
	})

	It("follows a host to a new address", func() {
		b.Apply(start, noticeFrom("B", 1, 1))
		moved := noticeFrom("B", 2, 1)
		moved.Address = "10.0.0.8:1"
		b.Apply(start, moved)
		near, _ := b.Addresses()
		Expect(near).To(Equal([]string{"10.0.0.8:1"}))
	})

	It("treats hosts of other zones as far once the fleet is large", func() {
		for i := range 20 {
			n := noticeFrom(fmt.Sprint("H", i), 1, 1)
			n.Zone, n.Address = string(rune('y'+i%2)), fmt.Sprintf("10.0.1.%d:1", i)
			b.Apply(start, n)
			near, far := b.Addresses()
			if i < 15 {
				Expect(near).To(HaveLen(i + 1))
				Expect(far).To(BeEmpty())
			}
		}
		near, far := b.Addresses()
		Expect(near).To(HaveLen(10))
		Expect(far).To(HaveLen(10))
	})

	It("leaves stopping hosts out of the live hosts", func() {
		n := noticeFrom("B", 1, 1)
		n.Stopping = true
		b.Apply(start, n)
		Expect(b.Alive("B")).To(BeTrue())
		Expect(b.Live()).To(BeEmpty())
	})
})

var _ = Describe("an exchange", func() {
	It("carries notices both ways and drops invalid datagrams", func() {
		clock := timer.NewManual(start)
		type endpoint struct {
			address  string
			book     *notice.PeerTable
			exchange *notice.Exchange
			received chan notice.Notice
		}
		open := func(name string) *endpoint {
			conn, err := notice.Listen("127.0.0.1:0")
			Expect(err).NotTo(HaveOccurred())
			address := conn.LocalAddr().String()
			s := &endpoint{address: address, received: make(chan notice.Notice, 100)}
			s.book = notice.NewPeerTable(name, "z", address, func(string, bool) {})
			s.exchange = notice.NewExchange(clock, logr.Discard(), s.book, conn, func() notice.Notice {
				return notice.Notice{Host: name, Address: address, Loads: map[string]scheduler.Load{"e": {Online: 2, Ends: []int{5, 9}}}}
			}, func(n notice.Notice) { s.received <- n })
			DeferCleanup(s.exchange.Close)
			return s
		}
		a, b := open("A"), open("B")
		b.exchange.Start()
		a.book.AddAddresses(start, b.address)
		a.exchange.Start()
		conn, err := net.Dial("udp4", b.address)
		Expect(err).NotTo(HaveOccurred())
		_, err = conn.Write([]byte("{nothing"))
		Expect(err).NotTo(HaveOccurred())
		Expect(conn.Close()).To(Succeed())
		var n notice.Notice
		Eventually(func() chan notice.Notice {
			clock.Advance(10 * time.Millisecond)
			a.exchange.TriggerSend()
			return b.received
		}, 20*time.Second, time.Millisecond).Should(Receive(&n))
		Expect(n.Loads["e"].Ends).To(Equal([]int{5, 9}))
		Eventually(func() chan notice.Notice {
			clock.Advance(10 * time.Millisecond)
			return a.received
		}, 20*time.Second, time.Millisecond).Should(Receive(HaveField("Host", "B")))
	})
})

func FuzzDecode(f *testing.F) {
	n := notice.Notice{Host: "A", Address: "10.0.0.1:1", Loads: map[string]scheduler.Load{"e": {Online: 1}}}
	text, err := n.Encode()
	if err != nil {
		f.Fatal(err)
	}
	f.Add(text)
	f.Add([]byte(`{"h":"A","a":"x","l":{"e":null}}`))
	f.Fuzz(func(t *testing.T, datagram []byte) {
		n, err := notice.Decode(datagram)
		if err != nil {
			return
		}
		b := notice.NewPeerTable("self", "z", "10.0.0.1:1", func(string, bool) {})
		b.Apply(start, n)
		if len(b.Live()) > 1 {
			t.Fatal("one notice added several hosts")
		}
	})
}
