package link_test

import (
	"bufio"
	"fmt"
	"net"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/kingcupquay/kingcupquay/internal/soak/link"
)

// patience bounds every wait; it is no statement on speed.
const patience = 20 * time.Second

var _ = Describe("a link", func() {
	var (
		l     *link.Link
		heard chan string
	)
	BeforeEach(func() {
		echo, err := net.Listen("tcp4", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(echo.Close)
		heard = make(chan string, 100)
		go func() {
			for {
				c, err := echo.Accept()
				if err != nil {
					return
				}
				go func() {
					lines := bufio.NewScanner(c)
					for lines.Scan() {
						heard <- lines.Text()
						_, _ = fmt.Fprintln(c, "re:", lines.Text())
					}
					_ = c.Close()
				}()
			}
		}()
		l, err = link.Listen("127.0.0.1:0", echo.Addr().String())
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(l.Close)
	})
	dial := func() (net.Conn, *bufio.Reader) {
		c, err := net.Dial("tcp4", l.Address())
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(c.Close)
		return c, bufio.NewReader(c)
	}
	say := func(c net.Conn, text string) {
		_, err := fmt.Fprintln(c, text)
		Expect(err).NotTo(HaveOccurred())
	}

	It("carries both ways, also late, until the end of one side", func() {
		c, in := dial()
		say(c, "one")
		Expect(in.ReadString('\n')).To(Equal("re: one\n"))
		l.SetHarm(link.Slow)
		say(c, "two")
		Expect(in.ReadString('\n')).To(Equal("re: two\n"))
		Expect(c.(*net.TCPConn).CloseWrite()).To(Succeed())
		_, err := in.ReadString('\n')
		Expect(err).To(MatchError("EOF"))
	})

	It("resets what is open and what is new", func() {
		old, in := dial()
		say(old, "one")
		Expect(in.ReadString('\n')).To(Equal("re: one\n"))
		l.SetHarm(link.Reset)
		_, err := in.ReadString('\n')
		Expect(err).To(MatchError(ContainSubstring("reset")))
		c, in := dial()
		say(c, "two")
		_, err = in.ReadString('\n')
		Expect(err).To(HaveOccurred())
		l.SetHarm(link.None)
		c, in = dial()
		say(c, "three")
		Expect(in.ReadString('\n')).To(Equal("re: three\n"))
	})

	It("loses the answers only, or everything, and resets at the end of the harm", func() {
		for _, harm := range []link.Harm{link.OneWay, link.Silent} {
			l.SetHarm(harm)
			c, in := dial()
			say(c, "one")
			if harm == link.OneWay {
				Eventually(heard, patience).Should(Receive(Equal("one")))
			}
			Expect(c.SetReadDeadline(time.Now().Add(50 * time.Millisecond))).To(Succeed())
			_, err := in.ReadString('\n')
			Expect(err).To(MatchError(ContainSubstring("timeout")))
			Expect(heard).To(BeEmpty())
			l.SetHarm(link.None)
			Expect(c.SetReadDeadline(time.Now().Add(patience))).To(Succeed())
			_, err = in.ReadString('\n')
			Expect(err).To(MatchError(ContainSubstring("reset")))
		}
	})
})
