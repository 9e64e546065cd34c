package discovery

import (
	"bytes"
	"encoding/json"
	"errors"
)

// maxMessageBytes is the longest that a message may be.
const maxMessageBytes = 16 << 20

// assembler gathers a message line by line: discovery writes it in one line or, indented, in many. The zero value is ready for
// the first line of a message.
type assembler struct{ buffered []byte }

// add takes one more line, without its end. complete reports that the line ended a message, which is the update. After an error
// or a complete message it is ready for the next one.
func (a *assembler) add(line []byte) (u Update, complete bool, err error) {
	if len(line) == 0 {
		return Update{}, false, nil
	}
	first := len(a.buffered) == 0
	a.buffered = append(append(a.buffered, line...), '\n')
	if !first && line[len(line)-1] != '}' && len(a.buffered) <= maxMessageBytes {
		return Update{}, false, nil // it cannot be the last
	}
	u, err = ParseUpdate(a.buffered)
	unfinished := new(json.SyntaxError)
	if errors.As(err, &unfinished) && unfinished.Offset == int64(len(a.buffered)) && len(a.buffered) <= maxMessageBytes {
		return Update{}, false, nil
	}
	a.buffered = nil
	return u, err == nil, err
}

// pending reports that a message has begun and not ended.
func (a *assembler) pending() bool { return len(a.buffered) > 0 }

// splitLines returns a bufio.SplitFunc that gives lines without their ends. It calls partial when it has a part of a line and
// needs more, and fails with errTruncated if the input ends amid one.
func splitLines(partial func()) func(data []byte, atEOF bool) (advance int, token []byte, err error) {
	return func(data []byte, atEOF bool) (int, []byte, error) {
		end := bytes.IndexByte(data, '\n')
		switch {
		case end >= 0:
			return end + 1, data[:end], nil
		case atEOF && len(data) > 0:
			return 0, nil, errTruncated
		case len(data) > 0:
			partial()
		}
		return 0, nil, nil
	}
}
