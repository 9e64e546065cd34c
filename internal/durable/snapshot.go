package durable

import (
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"
	"math"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Snapshot is a state as it is kept.
type Snapshot struct {
	Kind    string // what it is a state of
	Schema  uint32 // version of the payload's form
	Seq     uint64 // counts the snapshots of a folder, from 1
	Taken   time.Time
	Payload []byte
}

// magic begins each file, and format is the version of what stands around the payload.
const (
	magic   = "umbrstat"
	format  = 1
	maxKind = 64
	fixed   = len(magic) + 4 + 2 + 4 + 8 + 8 + 8 + 8 // all but kind and payload
)

// Why a file is no whole snapshot.
var (
	errNoState = errors.New("no state of this program")
	errShort   = errors.New("cut short or longer than it says")
	errSum     = errors.New("the checksum does not fit: what is in it is not what was written")
	errNewer   = errors.New("written by a newer version of this program")
)

// Encode words a snapshot as a file: magic, format, kind, schema, number, time, length, payload, and the xxhash of all
// that, numbers in little endian.
func Encode(s Snapshot) ([]byte, error) {
	if len(s.Kind) == 0 || len(s.Kind) > maxKind {
		return nil, fmt.Errorf("durable: kind %q is empty or over %d bytes", s.Kind, maxKind)
	}
	b := make([]byte, 0, fixed+len(s.Kind)+len(s.Payload))
	b = append(b, magic...)
	b = binary.LittleEndian.AppendUint32(b, format)
	b = binary.LittleEndian.AppendUint16(b, uint16(len(s.Kind)))
	b = append(b, s.Kind...)
	b = binary.LittleEndian.AppendUint32(b, s.Schema)
	b = binary.LittleEndian.AppendUint64(b, s.Seq)
	b = binary.LittleEndian.AppendUint64(b, uint64(s.Taken.UnixNano()))
	b = binary.LittleEndian.AppendUint64(b, uint64(len(s.Payload)))
	b = append(b, s.Payload...)
	return binary.LittleEndian.AppendUint64(b, xxhash.Sum64(b)), nil
}

// Decode reads what Encode wrote, and nothing else: the error says what is wrong with the file. The payload is a part
// of text.
func Decode(text []byte) (Snapshot, error) {
	var s Snapshot
	rest, is := bytes.CutPrefix(text, []byte(magic))
	if !is {
		return s, errNoState
	}
	if len(text) < fixed {
		return s, errShort
	}
	body, sum := text[:len(text)-8], binary.LittleEndian.Uint64(text[len(text)-8:])
	whole := xxhash.Sum64(body) == sum
	if v := binary.LittleEndian.Uint32(rest); v > format && whole {
		return s, errNewer // as far as can be told: a later format may put its checksum elsewhere
	} else if v != format {
		return s, errNoState
	}
	kind := int(binary.LittleEndian.Uint16(rest[4:]))
	rest = rest[6:]
	if kind == 0 || kind > maxKind || len(text) < fixed+kind {
		return s, errShort
	}
	s.Kind, rest = string(rest[:kind]), rest[kind:]
	s.Schema, s.Seq = binary.LittleEndian.Uint32(rest), binary.LittleEndian.Uint64(rest[4:])
	s.Taken = time.Unix(0, int64(binary.LittleEndian.Uint64(rest[12:])))
	n := binary.LittleEndian.Uint64(rest[20:])
	rest = rest[28:]
	if n > math.MaxInt64 || int64(n) != int64(len(rest)-8) {
		return s, errShort
	}
	if !whole {
		return s, errSum
	}
	s.Payload = rest[:n:n]
	return s, nil
}
