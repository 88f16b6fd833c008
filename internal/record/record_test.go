package record

import (
	"testing"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"
)

func TestDecodeRejectsMalformedRecords(t *testing.T) {
	for name, data := range map[string]string{
		"not json":     `{`,
		"no id":        `{"kind":"mark","mark":{}}`,
		"unknown kind": `{"id":"a","kind":"x"}`,
		"no body":      `{"id":"a","kind":"mark"}`,
		"two bodies":   `{"id":"a","kind":"mark","mark":{},"open":{}}`,
	} {
		t.Run(name, func(t *testing.T) {
			_, err := Decode([]byte(data))
			assert.Assert(t, errors.Is(err, ErrMalformed), "got %v", err)
		})
	}
}

func TestEncodeThenDecodeIsIdentity(t *testing.T) {
	in := Record{ID: "a", Kind: KindMark, Author: "op", Mark: &Mark{Subject: SubjectZone, Name: "brno-jih", State: MarkLeaving, Base: 3}}
	data, err := Encode(in)
	assert.NilError(t, err)
	out, err := Decode(data)
	assert.NilError(t, err)
	assert.DeepEqual(t, in, out)
}
