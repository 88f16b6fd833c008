package check

import (
	"bufio"
	"bytes"
	"encoding/json"
	"os"

	"github.com/cockroachdb/errors"
)

// maxLineBytes is the maximum length of one line of a record file, in bytes.
const maxLineBytes = 1 << 20

// ReadExecutions reads a server's record file: one JSON object per line. An
// incomplete last line is ignored, because a server that is killed may leave one.
func ReadExecutions(name string) ([]Execution, error) {
	return readLines[Execution](name)
}

// ReadCalls reads a file of calls: one JSON object per line, with the same rule for the
// last line. The record files of package load have other fields.
func ReadCalls(name string) ([]Call, error) {
	return readLines[Call](name)
}

func readLines[T any](name string) ([]T, error) {
	data, err := os.ReadFile(name)
	if err != nil {
		return nil, errors.Wrap(err, "check: read records")
	}
	complete := data[:bytes.LastIndexByte(data, '\n')+1]
	scanner := bufio.NewScanner(bytes.NewReader(complete))
	scanner.Buffer(nil, maxLineBytes)
	var list []T
	for scanner.Scan() {
		var item T
		if err := json.Unmarshal(scanner.Bytes(), &item); err != nil {
			return nil, errors.Wrapf(err, "check: %s: line %d", name, len(list)+1)
		}
		list = append(list, item)
	}
	return list, errors.Wrap(scanner.Err(), "check: read records")
}
