package discovery

import (
	"bytes"
	"encoding/json"
	"errors"
)

// maxMessageBytes is the maximum length of a message.
const maxMessageBytes = 16 << 20

// assembler assembles a message from lines: discovery sends a message on one line or, indented, on
// many. The zero value is ready for the first line of a message.
type assembler struct{ buffered []byte }

// add adds a line, without its line ending. If the line completes a message, complete is true and u is
// the message. After an error or a complete message the assembler is ready for the next message.
func (a *assembler) add(line []byte) (u Update, complete bool, err error) {
	if len(line) == 0 {
		return Update{}, false, nil
	}
	first := len(a.buffered) == 0
	a.buffered = append(append(a.buffered, line...), '\n')
	if !first && line[len(line)-1] != '}' && len(a.buffered) <= maxMessageBytes {
		return Update{}, false, nil // not the last line of a message, so parsing is pointless
	}
	u, err = ParseUpdate(a.buffered)
	unfinished := new(json.SyntaxError)
	if errors.As(err, &unfinished) && unfinished.Offset == int64(len(a.buffered)) && len(a.buffered) <= maxMessageBytes {
		return Update{}, false, nil
	}
	a.buffered = nil
	return u, err == nil, err
}

// pending reports whether a message is incomplete.
func (a *assembler) pending() bool { return len(a.buffered) > 0 }

// splitLines returns a bufio.SplitFunc that returns lines without their line endings. It calls partial
// when it needs more input to complete a line, and fails with errTruncated if the input ends within a
// line.
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
