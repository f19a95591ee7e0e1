//go:build review

package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"
)

// The unframed case: an engine answers with a large body that has no length and
// ends with its connection. The client reads it as its link carries it. With the
// disruption, the process of the entry host is killed meanwhile.
const (
	unframedBytes = 12 << 20
	// clientRate is what the client's link carries, in bytes a second.
	clientRate = 4 << 20
	rateStep   = 20 * time.Millisecond
)

const unframedRoutes = `{"name":"r-lookup","host":"` + hostName + `","prefix":"/puxa403/","kind":"safe","timeoutMs":15000,"sloMs":3000,"priority":2,"service":"records","attempts":1}`

// runUnframed checks MIXED: a client gets a success with a body that is not the
// engine's whole body, and does not look cut off.
func runUnframed(b *bed, trouble bool) (bool, error) {
	for _, zone := range []string{"a", "b", "c"} {
		e, err := b.addEngine("records", zone, 6, 0, 60*time.Millisecond)
		if err != nil {
			return false, err
		}
		e.unframed = unframedBytes
	}
	if err := b.configure(1, unframedRoutes, "records"); err != nil {
		return false, err
	}
	for _, zone := range []string{"a", "b", "c"} {
		if _, err := b.addHost(zone); err != nil {
			return false, err
		}
	}
	if err := b.waitReady(3 * time.Second); err != nil {
		return false, err
	}
	h := b.hosts[0]
	if trouble {
		time.AfterFunc(1500*time.Millisecond, func() {
			b.record("platform: %s is killed", h.settings.Name)
			h.kill()
		})
	}
	status, n, whole, err := b.readSlowly(h, "9c41d07be2a35f68")
	b.record("client: status %d, %d of %d bytes, looks complete: %v (%v)", status, n, unframedBytes, whole, err)
	if err != nil && status == 0 {
		return false, err
	}
	return !whole || n == unframedBytes, nil
}

// readSlowly sends a request and reads its answer at clientRate. whole reports
// whether the answer looks complete by the rules of HTTP/1.1.
func (b *bed) readSlowly(h *host, id string) (status, n int, whole bool, err error) {
	conn, err := net.Dial("tcp4", h.settings.CallerAddress)
	if err != nil {
		return 0, 0, false, err
	}
	defer func() { _ = conn.Close() }()
	if _, err := fmt.Fprintf(conn, "POST /puxa403/2f HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nDeadline-Ms: 15000\r\nContent-Length: 0\r\n\r\n", hostName, id); err != nil {
		return 0, 0, false, err
	}
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return 0, 0, false, err
	}
	defer func() { _ = resp.Body.Close() }()
	b.record("client: %d, length %d, coding %v, stamp %q", resp.StatusCode, resp.ContentLength, resp.TransferEncoding, resp.Header.Get("Server-Stamp"))
	var body bytes.Buffer
	for {
		_, err := io.CopyN(&body, resp.Body, clientRate/int64(time.Second/rateStep))
		if err == io.EOF {
			return resp.StatusCode, body.Len(), true, nil
		}
		if err != nil {
			return resp.StatusCode, body.Len(), false, err
		}
		time.Sleep(rateStep)
	}
}
