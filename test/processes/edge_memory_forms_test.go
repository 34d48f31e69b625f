package processes

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"os"
	"os/exec"
	"strings"
	"sync/atomic"
	"testing"
	"time"
)

// attackVariable holds the crowds of callers that don't behave which the test's program is to play instead of the
// tests: so they don't take the time of the ordinary callers.
const attackVariable = "WIGEONTILLER_TEST_ATTACKS"

// crowd is a form of the operators' list at one address.
type crowd struct {
	Form, Address, Path string
	// Divisor divides the number of connections, for forms that are played together.
	Divisor int
}

// attack plays one crowd.
type attack struct {
	crowd
	ids *atomic.Int64
}

// startAttacks plays crowds in a process of their own until the returned function is called.
func startAttacks(t *testing.T, crowds []crowd) (stop func()) {
	t.Helper()
	text, err := json.Marshal(crowds)
	if err != nil {
		t.Fatal(err)
	}
	command := exec.Command(os.Args[0], "-test.run=^$")
	command.Env = append(os.Environ(), attackVariable+"="+string(text))
	command.Stderr = os.Stderr
	// The process ends with its standard input.
	input, err := command.StdinPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := command.Start(); err != nil {
		t.Fatal(err)
	}
	return func() {
		_ = input.Close()
		if err := command.Wait(); err != nil {
			t.Error(err)
		}
	}
}

// runAttacks plays crowds until the standard input ends.
func runAttacks(text string) {
	var crowds []crowd
	if err := json.Unmarshal([]byte(text), &crowds); err != nil {
		panic(err)
	}
	var ids atomic.Int64
	for _, c := range crowds {
		for _, form := range attackForms {
			if form.name == c.Form {
				form.run(&attack{crowd: c, ids: &ids})
			}
		}
	}
	// The end of the process closes all connections.
	_, _ = io.Copy(io.Discard, os.Stdin)
}

// each runs a caller on each of so many connections, until the attack ends. A caller whose connection was closed comes
// again a second later.
func (a *attack) each(count int, caller func(conn net.Conn) error) {
	const pause, arrival = time.Second, 200 * time.Millisecond
	count = max(1, count/a.Divisor)
	for i := range count {
		go func() {
			time.Sleep(arrival * time.Duration(i) / time.Duration(count))
			for {
				a.once(caller)
				time.Sleep(pause)
			}
		}()
	}
}

func (a *attack) once(caller func(conn net.Conn) error) {
	conn, err := net.DialTimeout("tcp4", a.Address, time.Second)
	if err != nil {
		return
	}
	defer func() { _ = conn.Close() }()
	if caller(conn) != nil {
		return
	}
	// Stay open until the node closes the connection, and read nothing but its end.
	var one [1]byte
	_, _ = conn.Read(one[:])
}

func (a *attack) head(length string) string {
	return fmt.Sprintf("POST %s HTTP/1.1\r\nHost: h.example\r\nX-Attempt-Id: b%d\r\nX-Deadline-Ms: 9000\r\nAuthorization: Token key-b\r\n%s\r\n\r\n",
		a.Path, a.ids.Add(1), length)
}

// attackForms are the forms of the operators' list. Each bounds its connections and bytes.
var attackForms = []struct {
	name string
	run  func(a *attack)
}{
	{"whole bodies", func(a *attack) {
		body := make([]byte, memoryBodyBytes)
		a.each(60, func(conn net.Conn) error {
			_, err := conn.Write(append([]byte(a.head(fmt.Sprint("Content-Length: ", len(body)))), body...))
			return err
		})
	}},
	{"bodies that stop just short", func(a *attack) {
		body := make([]byte, memoryBodyBytes-1)
		a.each(150, func(conn net.Conn) error {
			if _, err := io.WriteString(conn, a.head(fmt.Sprint("Content-Length: ", memoryBodyBytes))); err != nil {
				return err
			}
			_, err := conn.Write(body)
			return err
		})
	}},
	{"bodies in small pieces that stop", func(a *attack) {
		piece := make([]byte, 4<<10)
		a.each(200, func(conn net.Conn) error {
			if _, err := io.WriteString(conn, a.head(fmt.Sprint("Content-Length: ", memoryBodyBytes))); err != nil {
				return err
			}
			for range 400 {
				if _, err := conn.Write(piece); err != nil {
					return err
				}
				time.Sleep(time.Millisecond)
			}
			return nil
		})
	}},
	{"small bodies that stop just short", func(a *attack) {
		body := strings.Repeat("s", 15<<10)
		a.each(1200, func(conn net.Conn) error {
			_, err := io.WriteString(conn, a.head("Content-Length: 16384")+body)
			return err
		})
	}},
	{"chunks without an end", func(a *attack) {
		chunk := fmt.Sprintf("%x\r\n%s\r\n", 64<<10, strings.Repeat("c", 64<<10))
		a.each(150, func(conn net.Conn) error {
			if _, err := io.WriteString(conn, a.head("Transfer-Encoding: chunked")); err != nil {
				return err
			}
			for range memoryBodyBytes/(64<<10) - 1 {
				if _, err := io.WriteString(conn, chunk); err != nil {
					return err
				}
			}
			return nil
		})
	}},
	{"bodies far over the limit", func(a *attack) {
		piece := make([]byte, 256<<10)
		a.each(60, func(conn net.Conn) error {
			length := "Content-Length: 1073741824"
			if a.ids.Load()%2 == 0 {
				length = "Transfer-Encoding: chunked"
			}
			if _, err := io.WriteString(conn, a.head(length)); err != nil {
				return err
			}
			for range 64 {
				if _, err := conn.Write(piece); err != nil {
					return err
				}
			}
			return nil
		})
	}},
	{"heads of many short fields", func(a *attack) {
		var fields strings.Builder
		for i := 0; fields.Len() < 15<<10; i++ {
			fmt.Fprintf(&fields, "%x:\r\n", i)
		}
		a.each(600, func(conn net.Conn) error {
			text := strings.TrimSuffix(a.head("Content-Length: 100"), "\r\n") + fields.String()
			if a.ids.Load()%2 == 0 {
				text += "\r\nbody"
			}
			_, err := io.WriteString(conn, text)
			return err
		})
	}},
	{"requests sent ahead", func(a *attack) {
		text := strings.Repeat("GET /nowhere HTTP/1.1\r\nHost: h.example\r\n\r\n", 40) + strings.Repeat(a.head("Content-Length: 0"), 800)
		a.each(300, func(conn net.Conn) error {
			_, err := io.WriteString(conn, text)
			return err
		})
	}},
	{"slow senders", func(a *attack) {
		a.each(1500, func(conn net.Conn) error {
			text := a.head("Content-Length: 1000") + strings.Repeat("s", 900)
			for i := range len(text) {
				if _, err := io.WriteString(conn, text[i:i+1]); err != nil {
					return err
				}
				time.Sleep(50 * time.Millisecond)
			}
			return nil
		})
	}},
	{"slow readers", func(a *attack) {
		a.each(100, func(conn net.Conn) error {
			if err := conn.(*net.TCPConn).SetReadBuffer(4 << 10); err != nil {
				return err
			}
			_, err := io.WriteString(conn, strings.Replace(a.head("Content-Length: 0"), "/x ", "/big ", 1))
			time.Sleep(3 * time.Second)
			return err
		})
	}},
	{"silent connections", func(a *attack) {
		a.each(2000, func(net.Conn) error { return nil })
	}},
}
