package faultproxy_test

import (
	"bufio"
	"fmt"
	"net"
	"os"
	"os/exec"
	"sync"
	"syscall"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/kingcupquay/kingcupquay/internal/soak/faultproxy"
)

// timeout bounds every wait; it is long enough for a busy machine.
const timeout = 20 * time.Second

var _ = Describe("a proxy", func() {
	var (
		proxy    *faultproxy.Proxy
		received chan string
	)
	BeforeEach(func() {
		echo, err := net.Listen("tcp4", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(echo.Close)
		received = make(chan string, 100)
		go func() {
			for {
				c, err := echo.Accept()
				if err != nil {
					return
				}
				go func() {
					lines := bufio.NewScanner(c)
					for lines.Scan() {
						received <- lines.Text()
						_, _ = fmt.Fprintln(c, "re:", lines.Text())
					}
					_ = c.Close()
				}()
			}
		}()
		proxy, err = faultproxy.Listen("127.0.0.1:0", echo.Addr().String())
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(proxy.Close)
	})
	dial := func() (net.Conn, *bufio.Reader) {
		c, err := net.Dial("tcp4", proxy.Address())
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(c.Close)
		return c, bufio.NewReader(c)
	}
	send := func(c net.Conn, text string) {
		_, err := fmt.Fprintln(c, text)
		Expect(err).NotTo(HaveOccurred())
	}

	It("keeps its port and its connections while it is shut, and listens there again", func() {
		before, in := dial()
		send(before, "a")
		Expect(in.ReadString('\n')).To(Equal("re: a\n"))
		Expect(proxy.Shut()).To(Succeed())
		_, err := net.Dial("tcp4", proxy.Address())
		Expect(err).To(MatchError(syscall.ECONNREFUSED))
		_, err = net.Listen("tcp4", proxy.Address())
		Expect(err).To(MatchError(syscall.EADDRINUSE))
		send(before, "b")
		Expect(in.ReadString('\n')).To(Equal("re: b\n"))
		Expect(proxy.Reopen()).To(Succeed())
		after, in := dial()
		send(after, "c")
		Expect(in.ReadString('\n')).To(Equal("re: c\n"))
	})

	// Guards against a port that can't be held, as a process that starts has the listener.
	It("shuts while processes start", func() {
		stop := make(chan struct{})
		var starts sync.WaitGroup
		for range 4 {
			starts.Go(func() {
				for {
					select {
					case <-stop:
						return
					default:
						_ = exec.Command(os.Args[0], "-test.list", "^$").Run()
					}
				}
			})
		}
		defer func() {
			close(stop)
			starts.Wait()
		}()
		for range 2000 {
			Expect(proxy.Shut()).To(Succeed())
			Expect(proxy.Reopen()).To(Succeed())
		}
	})

	// Guards against a wait for the end of a connection that escaped the close.
	It("closes connections that are being opened", func() {
		silent, err := net.Listen("tcp4", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		defer func() { _ = silent.Close() }()
		for range 300 {
			p, err := faultproxy.Listen("127.0.0.1:0", silent.Addr().String())
			Expect(err).NotTo(HaveOccurred())
			var dials sync.WaitGroup
			for range 8 {
				dials.Go(func() {
					if conn, err := net.Dial("tcp4", p.Address()); err == nil {
						DeferCleanup(conn.Close)
					}
				})
			}
			closed := make(chan struct{})
			go func() {
				p.Close()
				close(closed)
			}()
			Eventually(closed, timeout).Should(BeClosed())
			dials.Wait()
		}
	})

	It("resets its open connections and accepts new ones", func() {
		open, in := dial()
		send(open, "a")
		Expect(in.ReadString('\n')).To(Equal("re: a\n"))
		proxy.ResetConnections()
		_, err := in.ReadString('\n')
		Expect(err).To(MatchError(syscall.ECONNRESET))
		again, in := dial()
		send(again, "b")
		Expect(in.ReadString('\n')).To(Equal("re: b\n"))
	})

	It("forwards both directions, with and without delay, until one side closes", func() {
		c, in := dial()
		send(c, "one")
		Expect(in.ReadString('\n')).To(Equal("re: one\n"))
		proxy.SetFault(faultproxy.Slow)
		send(c, "two")
		Expect(in.ReadString('\n')).To(Equal("re: two\n"))
		Expect(c.(*net.TCPConn).CloseWrite()).To(Succeed())
		_, err := in.ReadString('\n')
		Expect(err).To(MatchError("EOF"))
	})

	It("resets open and new connections", func() {
		old, in := dial()
		send(old, "one")
		Expect(in.ReadString('\n')).To(Equal("re: one\n"))
		proxy.SetFault(faultproxy.Reset)
		_, err := in.ReadString('\n')
		Expect(err).To(MatchError(ContainSubstring("reset")))
		c, in := dial()
		send(c, "two")
		_, err = in.ReadString('\n')
		Expect(err).To(HaveOccurred())
		proxy.SetFault(faultproxy.None)
		c, in = dial()
		send(c, "three")
		Expect(in.ReadString('\n')).To(Equal("re: three\n"))
	})

	It("holds bytes back and delivers them when the fault ends", func() {
		c, in := dial()
		proxy.SetFault(faultproxy.Hold)
		send(c, "one")
		Consistently(received, 50*time.Millisecond).Should(BeEmpty())
		proxy.SetFault(faultproxy.None)
		Expect(in.ReadString('\n')).To(Equal("re: one\n"))
	})

	It("holds replies back but not calls, and delivers them when the fault ends", func() {
		c, in := dial()
		proxy.SetFault(faultproxy.HoldReplies)
		send(c, "one")
		Eventually(received, timeout).Should(Receive(Equal("one")))
		Expect(c.SetReadDeadline(time.Now().Add(50 * time.Millisecond))).To(Succeed())
		_, err := in.ReadString('\n')
		Expect(err).To(MatchError(ContainSubstring("timeout")))
		proxy.SetFault(faultproxy.None)
		Expect(c.SetReadDeadline(time.Now().Add(timeout))).To(Succeed())
		Expect(in.ReadString('\n')).To(Equal("re: one\n"))
	})

	It("drops replies or everything, and resets connections when the fault ends", func() {
		for _, fault := range []faultproxy.Fault{faultproxy.DropReplies, faultproxy.DropAll} {
			proxy.SetFault(fault)
			c, in := dial()
			send(c, "one")
			if fault == faultproxy.DropReplies {
				Eventually(received, timeout).Should(Receive(Equal("one")))
			}
			Expect(c.SetReadDeadline(time.Now().Add(50 * time.Millisecond))).To(Succeed())
			_, err := in.ReadString('\n')
			Expect(err).To(MatchError(ContainSubstring("timeout")))
			Expect(received).To(BeEmpty())
			proxy.SetFault(faultproxy.None)
			Expect(c.SetReadDeadline(time.Now().Add(timeout))).To(Succeed())
			_, err = in.ReadString('\n')
			Expect(err).To(MatchError(ContainSubstring("reset")))
		}
	})
})
