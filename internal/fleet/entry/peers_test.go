package entry

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"time"

	"github.com/go-logr/logr"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/kingcupquay/kingcupquay/internal/fleet/notice"
	"github.com/kingcupquay/kingcupquay/internal/fleet/setup"
	"github.com/kingcupquay/kingcupquay/internal/fleet/timer"
	"github.com/kingcupquay/kingcupquay/internal/operator/result"
	"github.com/kingcupquay/kingcupquay/internal/standin/platform"
)

// serveOnce starts a server that sends answer to each request and closes the
// connection.
func serveOnce(answer string) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(listener.Close)
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = conn.Close() }()
				if _, err := conn.Read(make([]byte, 64<<10)); err == nil {
					_, _ = io.WriteString(conn, answer)
				}
			}()
		}
	}()
	return listener.Addr().String()
}

var _ = Describe("an answer of another host that is cut at any byte", func() {
	const head = "HTTP/1.1 200 OK\r\nDate: x\r\n"
	const list = `{"Entries":[{"Key":"x","Value":"eA==","CreateRevision":1,"ModRevision":3,"Lease":0}],"Revision":9,"Grace":0}`
	chunked := func(body string) string {
		return head + fmt.Sprintf("Transfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", len(body), body)
	}
	framed := func(body string) string { return head + fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(body), body) }
	var h *Host
	BeforeEach(func() {
		clock := timer.NewManual(time.Unix(1000, 0))
		h = New(&setup.Entry{Name: "A", Zone: "a"}, logr.Discard(), clock, Adapter{Store: platform.NewKV(clock)})
	})
	body := func() *result.Error {
		_, failure := h.peers.Body(context.Background(), "B", "j", "i")
		return failure
	}
	end := func() *result.Error { return h.peers.End(context.Background(), "B", "j") }
	kept := func() *result.Error { return h.peers.Kept(context.Background(), "B", "j") }
	results := func() *result.Error {
		_, failure := h.peers.Results(context.Background(), "B", "j", 0, 0)
		return failure
	}
	servers := func() *result.Error {
		member, _ := h.members.Peer("B")
		if _, err := h.peers.requestServers(context.Background(), member.Address); err != nil {
			return result.New(result.NoBackend, "%v", err)
		}
		return nil
	}

	DescribeTable("is none", func(answer string, call func() *result.Error) {
		for n := range len(answer) + 1 {
			h.members.Apply(h.timer.Now(), notice.Notice{Member: notice.Member{Host: "B", Zone: "a", Address: serveOnce(answer[:n]), Start: int64(n) + 1}})
			failure := call()
			Expect(failure == nil).To(Equal(n == len(answer)), "cut after %q: %v", answer[:n], failure)
			if failure != nil {
				Expect(failure.Code()).To(Equal(result.NoBackend))
			}
		}
	},
		Entry("a body with a length", framed("bytes"), body),
		Entry("a body in chunks", chunked("bytes"), body),
		Entry("the end of a job", framed(""), end),
		Entry("that a job is kept", framed(""), kept),
		Entry("results with a length", framed(`{"Total":1,"Next":1,"Results":null}`), results),
		Entry("results in chunks", chunked(`{"Total":1,"Next":1,"Results":null}`), results),
		Entry("a list of servers", framed(list), servers),
	)

	DescribeTable("is none without a length or chunks, which hosts always send", func(answer string, call func() *result.Error) {
		h.members.Apply(h.timer.Now(), notice.Notice{Member: notice.Member{Host: "B", Zone: "a", Address: serveOnce(answer), Start: 1}})
		Expect(call()).NotTo(BeNil())
	},
		Entry("a body", head+"\r\nbyt", body),
		Entry("an empty body", head+"\r\n", body),
		Entry("the end of a job", head+"\r\n", end),
		Entry("that a job is kept", head+"\r\n", kept),
	)

	It("is none beyond the limit of its size", func() {
		h.members.Apply(h.timer.Now(), notice.Notice{Member: notice.Member{Host: "B", Zone: "a", Address: serveOnce(framed(strings.Repeat("x", maxPeerResponseBytes+1))), Start: 1}})
		Expect(body()).NotTo(BeNil())
	})
})

var _ = Describe("the handler of other hosts' calls", func() {
	It("refuses a read of results from a negative position, which would end the call by a panic", func() {
		clock := timer.NewManual(time.Unix(1000, 0))
		h := New(&setup.Entry{Name: "A", Zone: "a"}, logr.Discard(), clock, Adapter{Store: platform.NewKV(clock)})
		w := httptest.NewRecorder()
		h.peers.handler().ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/jobs/j/results?after=-1&wait=0s", nil))
		var failure failureBody
		Expect(json.Unmarshal(w.Body.Bytes(), &failure)).To(Succeed())
		Expect(result.Code(failure.Code)).To(Equal(result.InvalidField))
	})
})
