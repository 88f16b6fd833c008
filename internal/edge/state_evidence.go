package edge

import (
	"context"
	"encoding/json"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/poplarcroft/poplarcroft/internal/follow"
	"github.com/poplarcroft/poplarcroft/internal/poison"
)

// evidencePrefix and the fingerprint of a request are the key of the evidence against the request.
const evidencePrefix = "suspect/"

// evidenceWriteTimeout is the timeout of one write of evidence.
const evidenceWriteTimeout = time.Second

// keptEvidence is the record of the evidence against one request.
type keptEvidence struct {
	Records []poison.Record `json:"records"`
	// WrittenMS is the time of writing, in Unix milliseconds. The ages of the records count from it.
	// Clocks of hosts differ by seconds, evidence is kept for minutes.
	WrittenMS int64 `json:"written_ms"`
}

// age returns the time since the evidence was written.
func (k keptEvidence) age(now time.Time) time.Duration {
	return max(now.Sub(time.UnixMilli(k.WrittenMS)), 0)
}

// writeEvidence writes all evidence against a request.
func (s *state) writeEvidence(ctx context.Context, fingerprint poison.Fingerprint, records []poison.Record) error {
	value, err := json.Marshal(keptEvidence{Records: records, WrittenMS: time.Now().UnixMilli()})
	if err != nil {
		return errors.NewAssertionErrorWithWrappedErrf(err, "encode evidence")
	}
	ctx, cancel := context.WithTimeout(ctx, evidenceWriteTimeout)
	defer cancel()
	_, err = s.platform.AppendState(ctx, evidencePrefix+fingerprint.String(), value, nil)
	return err
}

// applyEvidence passes on the evidence of one record, none if the record has been removed.
func (s *state) applyEvidence(record follow.Record) {
	var fingerprint poison.Fingerprint
	if err := fingerprint.UnmarshalText([]byte(strings.TrimPrefix(record.Key, evidencePrefix))); err != nil {
		s.log.Event("suspects", "key", record.Key, "outcome", "rejected", "err", err.Error())
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(record.Value) == 0 {
		delete(s.evidenceWritten, record.Key)
		s.onEvidence(fingerprint, nil)
		return
	}
	var kept keptEvidence
	if err := json.Unmarshal(record.Value, &kept); err != nil {
		s.log.Event("suspects", "key", record.Key, "outcome", "rejected", "err", err.Error())
		s.onEvidence(fingerprint, nil)
		return
	}
	s.evidenceWritten[record.Key] = time.UnixMilli(kept.WrittenMS)
	age := kept.age(time.Now())
	for i := range kept.Records {
		kept.Records[i].Age += age
	}
	s.log.Event("suspects", "fingerprint", fingerprint.String(), "crashes", len(kept.Records),
		"offset", record.Offset, "age_ms", age.Milliseconds(), "outcome", "read")
	s.onEvidence(fingerprint, kept.Records)
}

// removeExpiredEvidence removes the evidence that was written longer than crashRetention ago.
func (s *state) removeExpiredEvidence(ctx context.Context) error {
	s.mu.Lock()
	var expired []string
	for key, written := range s.evidenceWritten {
		if time.Since(written) > crashRetention {
			expired = append(expired, key)
		}
	}
	s.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, evidenceWriteTimeout)
	defer cancel()
	for _, key := range expired {
		if _, err := s.platform.AppendState(ctx, key, nil, nil); err != nil {
			return err
		}
	}
	return nil
}
