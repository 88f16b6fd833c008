package relay

import (
	"bytes"
	"context"
	"fmt"
	"testing"
	"testing/synctest"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"

	"github.com/poplarcroft/poplarcroft/internal/content"
	"github.com/poplarcroft/poplarcroft/internal/follow"
)

// planValue returns a value above MaxInlineBytes that compresses as a plan does.
func planValue(version int) []byte {
	var value bytes.Buffer
	for i := range 700 {
		fmt.Fprintf(&value, `{"first":%d,"last":%d,"phase":"held","server":{"id":"i-%08x","zone":"brno-sever"},"fence":%d},`, i*65, i*65+64, i*7919, version)
	}
	return value.Bytes()
}

// TestPlansArriveCompressedInOneReply guards against plans of large fleets that take another round trip and all of their bytes
// to each host. A host of an older build gets them as before.
func TestPlansArriveCompressedInOneReply(t *testing.T) {
	for name, knows := range map[string]bool{"this build": true, "an older build": false} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				direct := &topicSource{}
				direct.append("zone", []byte("small"))
				direct.append("plan", planValue(1))
				assert.Assert(t, len(planValue(1)) > MaxInlineBytes)
				p := newPair(direct)
				transfers, bytesSent := 0, 0
				p.chunks = func(_ context.Context, args content.ChunksArgs) (content.ChunksReply, error) {
					transfers++
					return p.relay.config.Contents.Store.Serve(args)
				}
				p.query = func(ask *Ask) {
					ask.Compressed = ask.Compressed && knows
					for _, record := range p.relay.Serve(t.Context(), *ask).Records {
						bytesSent += len(record.Value)
					}
				}
				_, err := p.relaySource.Since(t.Context(), follow.Position{}, 0)
				assert.NilError(t, err)
				batch, err := p.hostSource.Since(t.Context(), follow.Position{}, 0)
				assert.NilError(t, err)
				assert.Equal(t, len(batch.Records), 2)
				assert.Assert(t, bytes.Equal(batch.Records[1].Value, planValue(1)))
				assert.Equal(t, string(batch.Records[0].Value), "small")
				assert.Equal(t, transfers == 0, knows)
				assert.Assert(t, bytesSent < 10<<10, "%d bytes", bytesSent)
				assert.Equal(t, p.direct.reads, 0)
			})
		})
	}
}

// TestMalformedCompressedReplies checks that a host whose relay sends what cannot be decompressed reads for itself.
func TestMalformedCompressedReplies(t *testing.T) {
	good := deflate(planValue(1))
	endless := deflate(bytes.Repeat([]byte("x"), maxCompressedBytes))
	for name, reply := range map[string]Reply{
		"not compressed":     {Records: []follow.Record{{Key: "plan", Value: []byte("{}")}}, Compressed: []int{0}},
		"cut short":          {Records: []follow.Record{{Key: "plan", Value: good[:len(good)-5]}}, Compressed: []int{0}},
		"no such record":     {Records: []follow.Record{{Key: "plan", Value: good}}, Compressed: []int{1}},
		"negative":           {Records: []follow.Record{{Key: "plan", Value: good}}, Compressed: []int{-1}},
		"too large":          {Records: []follow.Record{{Key: "plan", Value: bytes.Repeat(endless, 2)}}, Compressed: []int{0, 0}},
		"twice the same one": {Records: []follow.Record{{Key: "plan", Value: good}}, Compressed: []int{0, 0}},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				direct := &topicSource{}
				direct.append("plan", planValue(1))
				p := newPair(direct)
				p.host.config.Ask = func(context.Context, Host, Ask) (Reply, error) { return reply, nil }
				batch, err := p.hostSource.Since(t.Context(), follow.Position{}, 0)
				assert.NilError(t, err)
				assert.Equal(t, p.direct.reads, 1)
				assert.Assert(t, bytes.Equal(batch.Records[0].Value, planValue(1)))
			})
		})
	}
	assert.Assert(t, deflate([]byte("short")) == nil)
	assert.Assert(t, deflate(make([]byte, maxCompressedBytes+1)) == nil)
	assert.Assert(t, deflate(largeValue(1)) == nil, "a value that does not compress")
	_, err := inflate(good[:10])
	assert.Assert(t, err != nil && !errors.HasAssertionFailure(err))
}

// BenchmarkPlanFromRelay measures what it costs a host to take a plan of 195 hosts from its relay's reply, and the size of that.
func BenchmarkPlanFromRelay(b *testing.B) {
	compressed := deflate(planValue(1))
	b.ReportAllocs()
	for b.Loop() {
		reply := Reply{Records: []follow.Record{{Key: "plan", Value: compressed}}, Compressed: []int{0}}
		if err := reply.inflate(); err != nil {
			b.Fatal(err)
		}
	}
	b.ReportMetric(float64(len(compressed)), "wire-B/plan")
}
