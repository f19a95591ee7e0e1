package entry

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/kingcupquay/kingcupquay/internal/fleet/drain"
	"github.com/kingcupquay/kingcupquay/internal/fleet/setup"
	"github.com/kingcupquay/kingcupquay/internal/fleet/timer"
	"github.com/kingcupquay/kingcupquay/internal/standin/platform"
)

var _ = It("logs so many connections that ended a second, those that it closed apart from others", func() {
	clock := timer.NewManual(time.Unix(1000, 0))
	var lines []string
	h := New(&setup.Entry{Name: "A", Zone: "a"}, capture(&lines), clock, Adapter{Store: platform.NewKV(clock)})
	tell := h.logClosed("callers")
	left := drain.Closing{Request: "r1", By: drain.ByCaller, Cause: drain.CauseLeft}
	for range maxLeftLines + 3 {
		tell(left)
	}
	Expect(lines).To(HaveLen(maxLeftLines))
	broken := drain.Closing{Request: "r2", By: drain.ByHost, Cause: drain.CauseBroken, Status: 200, Read: 7, Written: 8, Unread: 9, After: 10 * time.Millisecond}
	before := closedTotal[drain.CauseBroken].Get()
	tell(broken)
	Expect(closedTotal[drain.CauseBroken].Get()).To(Equal(before + 1))
	Expect(lines).To(HaveLen(maxLeftLines + 1))
	Expect(lines[maxLeftLines]).To(HaveSuffix(`"msg"="connection closed" "listener"="callers" "request"="r2" "by"="host" "cause"="answer broken off" "status"=200 "bytes_read"=7 "bytes_written"=8 "bytes_unread"=9 "after_ms"=10 "skipped"=0`))
	clock.Advance(time.Second)
	tell(left)
	Expect(lines[maxLeftLines+1]).To(ContainSubstring(`"skipped"=3`))
})
