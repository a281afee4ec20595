package lab

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"testing"
	"time"

	"mothcleat/internal/testing/harness"
)

// within bounds every wait. The tests don't check speeds.
const within = 30 * time.Second

func ask(t *testing.T, address, command string) (string, error) {
	t.Helper()
	c, err := net.Dial("tcp", address)
	if err != nil {
		return "", err
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(within))
	var b strings.Builder
	words := strings.Fields(command)
	fmt.Fprintf(&b, "*%d\r\n", len(words))
	for _, w := range words {
		fmt.Fprintf(&b, "$%d\r\n%s\r\n", len(w), w)
	}
	if _, err := io.WriteString(c, b.String()); err != nil {
		return "", err
	}
	line, err := bufio.NewReader(c).ReadString('\n')
	return strings.TrimSpace(line), err
}

const (
	quote = "API.READ 0000000000000007 %016x c=cotacao,t=basico,d=3000,units=1,spread=1,first=0"
	alert = "API.WRITE 0000000000000007 %016x c=alerta,t=basico,d=9000,k=%s,units=2,spread=1,first=0 BODY"
)

func newTestServer(t *testing.T) (*Server, *harness.Record) {
	t.Helper()
	s, rec := harness.NewSite(1, 2, 1, 0.5), harness.NewRecord()
	for i := range s.Classes {
		s.Classes[i].Work = ms
	}
	sv, err := NewServer(s, rec, worldCount.Add(1), 0, 1)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(sv.Kill)
	return sv, rec
}

func TestServerServesAndDropsRepeats(t *testing.T) {
	sv, rec := newTestServer(t)
	if got, err := ask(t, sv.addrs[1], fmt.Sprintf(quote, 1)); err != nil || got != "*3" {
		t.Errorf("answer %q, %v", got, err)
	}
	for id := range 2 {
		if got, err := ask(t, sv.addrs[0],
			fmt.Sprintf(alert, 10+id, "k1")); err != nil || got != "*3" {
			t.Errorf("answer %q, %v", got, err)
		}
	}
	if n := len(rec.Attempts); n != 3 {
		t.Fatalf("%d attempts in the record", n)
	}
	if a := rec.Attempts; a[0].Gateway != 1 || !a[0].Effect || !a[1].Effect || a[2].Effect ||
		!a[2].Ran || a[1].Gateway != 0 {
		t.Errorf("attempts %+v", a)
	}
	if got, err := ask(t, sv.addrs[0], "FLUSHALL"); err != nil || !strings.HasPrefix(got, "-ERR") {
		t.Errorf("answer %q, %v", got, err)
	}
}

func TestServerFaults(t *testing.T) {
	sv, _ := newTestServer(t)
	n := 0
	try := func() (string, error) { n++; return ask(t, sv.addrs[0], fmt.Sprintf(quote, n)) }
	sv.SetFault(Fault{Errors: 1})
	if got, _ := try(); got != "-ERR failed" {
		t.Errorf("fast errors: %q", got)
	}
	sv.SetFault(Fault{Reset: 1})
	if got, err := try(); err == nil {
		t.Errorf("reset: %q", got)
	}
	sv.SetFault(Fault{})
	sv.SetDrain(true)
	if got, _ := try(); got != "-BUSY" {
		t.Errorf("draining: %q", got)
	}
	sv.Kill()
	if got, err := try(); err == nil {
		t.Errorf("killed: %q", got)
	}
	if err := sv.Start(); err != nil {
		t.Fatal(err)
	}
	if got, err := try(); err != nil || got != "*3" {
		t.Errorf("started again: %q, %v", got, err)
	}
}

// A cold server that receives too much work at once crashes and stays down.
func TestColdServerOverloads(t *testing.T) {
	sv, rec := newTestServer(t)
	for i := range sv.site.Classes {
		sv.site.Classes[i].Work = 300 * ms
	}
	sv.Kill()
	if err := sv.Start(); err != nil {
		t.Fatal(err)
	}
	c, err := net.Dial("tcp", sv.addrs[0])
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(within))
	words := strings.Fields(fmt.Sprintf(quote, 7))
	one := fmt.Sprintf("*%d\r\n", len(words))
	for _, w := range words {
		one += fmt.Sprintf("$%d\r\n%s\r\n", len(w), w)
	}
	for range 40 {
		conn, err := net.Dial("tcp", sv.addrs[0])
		if err != nil {
			break // the server is down
		}
		defer conn.Close()
		_, _ = io.WriteString(conn, one)
	}
	for up := true; up; up, _ = sv.Up() {
		if rec.Now() > within {
			t.Fatal("the server is still up")
		}
		time.Sleep(ms)
	}
	rec.Read(func() {
		if rec.ServerStarts[1].OverloadedAt == 0 {
			t.Error("the overload is not in the record")
		}
	})
}

func TestRegisterReportsChangesAndFallsSilent(t *testing.T) {
	sv, rec := newTestServer(t)
	r, err := NewRegister(rec, 2, 0, 1)
	if err != nil {
		t.Fatal(err)
	}
	defer r.Close()
	r.Set(sv, phaseReady, 0, true)
	url := "http://" + r.agents[1].address + "/catalog/members"
	get := func(query string) (l memberList) {
		t.Helper()
		client := http.Client{Timeout: within}
		res, err := client.Get(url + query)
		if err != nil {
			t.Fatal(err)
		}
		defer res.Body.Close()
		if err := json.NewDecoder(res.Body).Decode(&l); err != nil {
			t.Fatal(err)
		}
		return l
	}
	whole := get("")
	if !whole.Complete || len(whole.Members) != 1 || whole.Members[0].HostPort != sv.addrs[1] {
		t.Errorf("list %+v", whole)
	}
	go r.Set(sv, phaseStop, 0, true)
	if l := get("?index=1&wait=20000"); l.Complete || len(l.Members) != 1 ||
		l.Members[0].Phase != phaseStop || l.Revision != 2 {
		t.Errorf("changes %+v", l)
	}
	if l := get("?index=2&wait=1"); l.Complete || len(l.Members) != 0 {
		t.Errorf("no change: %+v", l)
	}
	rec.Read(func() {
		if n := len(rec.EndpointUpdates); n < 2 || !rec.EndpointUpdates[n-1].Stop ||
			rec.EndpointUpdates[n-1].Gateway != 1 {
			t.Errorf("notified %+v", rec.EndpointUpdates)
		}
	})
	r.Silence(true)
	answered := make(chan memberList, 1)
	go func() { answered <- get("") }()
	select {
	case l := <-answered:
		t.Errorf("a silent register answered %+v", l)
	case <-time.After(50 * ms): // a short check; the answer has to arrive below in any case
	}
	r.Silence(false)
	select {
	case <-answered:
	case <-time.After(within):
		t.Error("no answer after the silence")
	}
}

func TestCounterAddsAndForgets(t *testing.T) {
	c, err := NewCounter(1)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	post := func(path string) (int, string) {
		t.Helper()
		res, err := http.Post("http://"+c.Address+path, "", nil)
		if err != nil {
			t.Fatal(err)
		}
		defer res.Body.Close()
		b, _ := io.ReadAll(res.Body)
		return res.StatusCode, strings.TrimSpace(string(b))
	}
	for _, s := range []struct {
		path string
		code int
		body string
	}{
		{"/v1/count/a?add=2.5&ttl_ms=60000", 200, "2.5"},
		{"/v1/count/a?add=-1&ttl_ms=60000", 200, "1.5"},
		{"/v1/count/a?add=x&ttl_ms=60000", 400, ""},
		{"/v1/count/a?add=1&ttl_ms=0", 400, ""},
		{"/other", 404, ""},
	} {
		if code, body := post(s.path); code != s.code || s.body != "" && body != s.body {
			t.Errorf("%s: %d %q", s.path, code, body)
		}
	}
	c.Forget(1)
	if _, body := post("/v1/count/a?add=1&ttl_ms=1000"); body != "1" {
		t.Errorf("after Forget: %q", body)
	}
	c.SetDown(true)
	if code, _ := post("/v1/count/a?add=1&ttl_ms=1000"); code != 503 {
		t.Errorf("down: %d", code)
	}
}

// A message arrives from the address under which the receiver knows the sender.
func TestPeerMessagesComeFromTheSendersAddress(t *testing.T) {
	var socks []*net.UDPConn
	var dest []netip.AddrPort
	for range 3 {
		c, err := net.ListenUDP("udp",
			net.UDPAddrFromAddrPort(netip.MustParseAddrPort("127.0.0.1:0")))
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		_ = c.SetDeadline(time.Now().Add(within))
		socks, dest = append(socks, c), append(dest, c.LocalAddr().(*net.UDPAddr).AddrPort())
	}
	for _, loss := range []float64{0, 1} {
		n, err := NewPeerNetwork(dest, loss, 1)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := socks[0].WriteToUDPAddrPort([]byte("hello"),
			netip.MustParseAddrPort(n.peers(0)[2])); err != nil {
			t.Fatal(err)
		}
		if loss == 1 {
			for end := time.Now().Add(within); n.Dropped.Load() == 0; time.Sleep(ms) {
				if time.Now().After(end) {
					t.Fatal("the message was not dropped")
				}
			}
		} else {
			buf := make([]byte, 16)
			size, from, err := socks[2].ReadFromUDPAddrPort(buf)
			if err != nil || string(buf[:size]) != "hello" || from.String() != n.peers(2)[0] {
				t.Errorf("%q from %v, %v", buf[:size], from, err)
			}
		}
		n.Close()
		if _, _, err := n.links[0][1].ReadFromUDPAddrPort(nil); !errors.Is(err, net.ErrClosed) {
			t.Error(err)
		}
	}
}

// The load balancer does not reuse an idle connection that the gateway has closed.
func TestLoadBalancerDropsClosedConnections(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	f := newLoadBalancer(harness.NewRecord(), []*Gateway{{Address: l.Addr().String()}})
	first, err := f.acquire(0, false)
	if err != nil {
		t.Fatal(err)
	}
	accepted, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	f.keep(0, first)
	if again, err := f.acquire(0, false); err != nil || again != first {
		t.Fatalf("an open connection was not reused: %v", err)
	}
	accepted.Close()
	for first.open() { // until the close has arrived
		time.Sleep(ms)
	}
	f.keep(0, first)
	if again, err := f.acquire(0, false); err != nil || again == first {
		t.Errorf("a closed connection was reused: %v", err)
	}
}
