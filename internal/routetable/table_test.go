package routetable

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"
)

func TestLongestPrefixWins(t *testing.T) {
	table := New(Config{Routes: []Route{
		{Name: "all", Host: "a.example", Prefix: "/"},
		{Name: "one", Host: "a.example", Prefix: "/one/"},
		{Name: "deep", Host: "A.example", Prefix: "/one/two/"},
		{Name: "other", Host: "b.example", Prefix: "/one/"},
	}})
	for _, test := range []struct{ host, path, want string }{
		{"a.example", "/one/two/three", "deep"},
		{"a.example:8080", "/one/two/", "deep"},
		{"a.example", "/one/two", "one"},
		{"A.EXAMPLE", "/one", "all"},
		{"a.example", "/x/y/z", "all"},
		{"b.example", "/one/x", "other"},
		{"b.example", "/two/", ""},
		{"c.example", "/one/", ""},
	} {
		route, ok := table.Lookup(test.host, test.path)
		assert.Equal(t, ok, test.want != "", "%s%s", test.host, test.path)
		if ok {
			assert.Equal(t, route.Name, test.want, "%s%s", test.host, test.path)
		}
	}
}

func TestSharesFollowTheirWeights(t *testing.T) {
	route := Route{Shares: []Share{{Service: "a", Weight: 90}, {Service: "b", Weight: 10}, {Service: "c", Weight: 0}}}
	counts := make(map[string]int)
	for i := range 1000 {
		counts[route.Pick(float64(i)/1000)]++
	}
	assert.DeepEqual(t, counts, map[string]int{"a": 900, "b": 100})
}

func BenchmarkLookupAmongManyRoutes(b *testing.B) {
	var config Config
	for i := range 2000 {
		config.Routes = append(config.Routes, Route{Name: fmt.Sprint(i), Host: "a.example", Prefix: fmt.Sprintf("/r%d/x/", i)})
	}
	table := New(config)
	for b.Loop() {
		table.Lookup("a.example", "/r1234/x/y")
	}
}
