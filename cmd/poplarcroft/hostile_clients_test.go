package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/poplarcroft/poplarcroft/internal/standin"
)

const (
	// devEnvVar makes the test binary run as the development system with the arguments in it.
	devEnvVar = "POPLARCROFT_TEST_DEV"
	// hostileClients is the number of connections of clients that do not keep to what callers are told, and hostileFor how long they
	// go on before an ordinary request must be answered, within hostileAnswerLimit.
	hostileClients     = 128
	hostileFor         = 2 * time.Second
	hostileAnswerLimit = 30 * time.Second
	// hostileMemoryMB bounds the memory of the process, which runs three hosts and their servers.
	hostileMemoryMB = 400
	hostileHead     = 60 << 10
	hostileBody     = 8<<20 - 1024
)

func TestMain(m *testing.M) {
	if args := os.Getenv(devEnvVar); args != "" {
		os.Args = append([]string{"poplarcroft", "dev"}, strings.Fields(args)...)
		main()
	}
	os.Exit(m.Run())
}

// freeAddr returns an address on which nobody listens.
func freeAddr(t *testing.T) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer listener.Close()
	return listener.Addr().String()
}

// startDevProcess starts a development system as a process, and returns the address for callers.
func startDevProcess(t *testing.T) (process *exec.Cmd, caller string) {
	caller = freeAddr(t)
	process = exec.Command(os.Args[0])
	process.Env = append(os.Environ(), fmt.Sprintf("%s=-caller %s -admin %s", devEnvVar, caller, freeAddr(t)))
	assert.NilError(t, process.Start())
	t.Cleanup(func() {
		process.Process.Kill()
		process.Wait()
	})
	return process, caller
}

// awaitAnswer sends an ordinary request again and again, and reports whether one is answered in time.
func awaitAnswer(caller string) bool {
	client := &http.Client{Timeout: 2 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for deadline := time.Now().Add(hostileAnswerLimit); time.Now().Before(deadline); time.Sleep(50 * time.Millisecond) {
		answer, err := client.Post("http://"+caller+"/v1/revize/hala-7", "text/plain", strings.NewReader("passed"))
		if err != nil {
			continue
		}
		_, err = io.Copy(io.Discard, answer.Body)
		answer.Body.Close()
		if err == nil && answer.StatusCode == http.StatusOK {
			return true
		}
	}
	return false
}

// TestHostileClientsOfTheProductsOwnInterface guards against clients that end a process by what they send to the product's own
// interface. Ordinary callers get answers meanwhile.
func TestHostileClientsOfTheProductsOwnInterface(t *testing.T) {
	if testing.Short() {
		t.Skip("runs a process")
	}
	var lines strings.Builder
	for i := 0; lines.Len() < hostileHead; i++ {
		fmt.Fprintf(&lines, "%x:\r\n", i)
	}
	const head = "POST /v1/revize/hala-7 HTTP/1.1\r\nHost: a\r\n"
	for name, request := range map[string]string{
		"whole heads of many lines":                   head + lines.String() + "Content-Length: 0\r\n\r\n",
		"heads of many lines that are held open":      head + lines.String(),
		"chunked bodies in one chunk that stop short": fmt.Sprintf("%sTransfer-Encoding: chunked\r\n\r\n%x\r\n%s", head, hostileBody, strings.Repeat("x", hostileBody)),
	} {
		t.Run(name, func(t *testing.T) {
			process, caller := startDevProcess(t)
			assert.Assert(t, awaitAnswer(caller), "the system does not start")
			stop := standin.StartCrowd(caller, hostileClients, func(conn net.Conn) {
				go io.WriteString(conn, request)
				io.Copy(io.Discard, conn)
			})
			time.Sleep(hostileFor)
			beside := awaitAnswer(caller)
			stop()
			assert.Check(t, beside, "an ordinary request beside the crowd is not answered")
			assert.Check(t, awaitAnswer(caller), "an ordinary request after the crowd is not answered")
			peak, err := standin.PeakMemoryMB(process.Process.Pid)
			assert.NilError(t, err)
			t.Logf("at most %d MB", peak)
			assert.Check(t, peak <= hostileMemoryMB, "the process took %d MB of %d", peak, hostileMemoryMB)
		})
	}
}
