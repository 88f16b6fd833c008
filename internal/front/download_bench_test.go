package front

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"testing"
)

// BenchmarkDownload measures requests for answers of 90 KB, the usual size of a download, through one host: passed on while
// they arrive, and held.
func BenchmarkDownload(b *testing.B) {
	body := strings.Repeat("x", 90_000)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("X-Id", r.Header.Get("X-Id"))
		w.Header().Set("X-Digest", "d")
		w.Header().Set("Content-Length", "90000")
		io.WriteString(w, body)
	}))
	defer server.Close()
	for name, path := range map[string]string{"passed on": "/download/x", "held": "/any/x"} {
		b.Run(name, func(b *testing.B) {
			s := newHost(b, "h1", server.Listener.Addr().String())
			b.ReportAllocs()
			id := 0
			for b.Loop() {
				id++
				request, _ := http.NewRequest("GET", s.callers.URL+path, nil)
				request.Host = "a.example"
				request.Header = http.Header{"X-Id": {strconv.Itoa(id)}, "X-Left": {s.timeoutMS}}
				response, err := http.DefaultClient.Do(request)
				if err != nil {
					b.Fatal(err)
				}
				n, err := io.Copy(io.Discard, response.Body)
				response.Body.Close()
				if err != nil || n != int64(len(body)) {
					b.Fatal(n, err)
				}
			}
		})
	}
}
