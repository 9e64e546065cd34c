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

// Snapshot is one saved state.
type Snapshot struct {
	Kind    string // kind of the state, 1 to 64 bytes
	Schema  uint32 // version of the payload format
	Seq     uint64 // sequence number in its directory, starting at 1
	Taken   time.Time
	Payload []byte
}

// Format of a snapshot file. All integers are little-endian.
const (
	snapshotMagic   = "umbrstat"
	snapshotVersion = 1 // version of the file format, not of the payload
	maxKindSize     = 64

	versionSize    = 4
	kindLengthSize = 2
	schemaSize     = 4
	seqSize        = 8
	takenSize      = 8
	lengthSize     = 8
	checksumSize   = 8
	// snapshotOverhead is the size of a file with an empty kind and an empty payload.
	snapshotOverhead = len(snapshotMagic) + versionSize + kindLengthSize + schemaSize + seqSize + takenSize + lengthSize + checksumSize
)

// Reasons why a file cannot be used.
var (
	// ErrUnrecognized is returned for a file that is not a snapshot or log of this package.
	ErrUnrecognized = errors.New("no state of this program")
	// ErrTruncated is returned for a file whose size does not match the lengths recorded in it.
	ErrTruncated = errors.New("file size does not match the lengths recorded in it")
	// ErrChecksum is returned for a file or a log record whose content does not match its checksum.
	ErrChecksum = errors.New("the checksum does not fit: what is in it is not what was written")
	// ErrNewerVersion is returned for a file in a format that only a newer version of the program supports.
	ErrNewerVersion = errors.New("written by a newer version of this program")
)

// Encode returns the content of a snapshot file: magic, version of the file format, kind length, kind, schema, sequence number,
// time in nanoseconds since 1970, payload length, payload, and the xxhash of everything before it. It fails if the kind is empty
// or too long.
func Encode(s Snapshot) ([]byte, error) {
	if len(s.Kind) == 0 || len(s.Kind) > maxKindSize {
		return nil, fmt.Errorf("durable: kind %q is empty or longer than %d bytes", s.Kind, maxKindSize)
	}
	b := make([]byte, 0, snapshotOverhead+len(s.Kind)+len(s.Payload))
	b = append(b, snapshotMagic...)
	b = binary.LittleEndian.AppendUint32(b, snapshotVersion)
	b = binary.LittleEndian.AppendUint16(b, uint16(len(s.Kind)))
	b = append(b, s.Kind...)
	b = binary.LittleEndian.AppendUint32(b, s.Schema)
	b = binary.LittleEndian.AppendUint64(b, s.Seq)
	b = binary.LittleEndian.AppendUint64(b, uint64(s.Taken.UnixNano()))
	b = binary.LittleEndian.AppendUint64(b, uint64(len(s.Payload)))
	b = append(b, s.Payload...)
	return binary.LittleEndian.AppendUint64(b, xxhash.Sum64(b)), nil
}

// Decode parses the content of a snapshot file. The error is ErrUnrecognized, ErrTruncated, ErrChecksum or ErrNewerVersion.
// The returned payload aliases content.
func Decode(content []byte) (Snapshot, error) {
	body, checksumMatches, err := splitChecksum(content)
	if err != nil {
		return Snapshot{}, err
	}
	rest, err := checkVersion(body[len(snapshotMagic):], checksumMatches)
	if err != nil {
		return Snapshot{}, err
	}
	s, payloadLength, rest, err := decodeHeader(rest)
	if err != nil {
		return Snapshot{}, err
	}
	if payloadLength > math.MaxInt64 || int64(payloadLength) != int64(len(rest)) {
		return s, ErrTruncated
	}
	if !checksumMatches {
		return s, ErrChecksum
	}
	s.Payload = rest[:payloadLength:payloadLength]
	return s, nil
}

// splitChecksum separates a file's content from its checksum and reports whether the checksum matches.
func splitChecksum(content []byte) (body []byte, matches bool, err error) {
	if !bytes.HasPrefix(content, []byte(snapshotMagic)) {
		return nil, false, ErrUnrecognized
	}
	if len(content) < snapshotOverhead {
		return nil, false, ErrTruncated
	}
	body = content[:len(content)-checksumSize]
	return body, binary.LittleEndian.Uint64(content[len(body):]) == xxhash.Sum64(body), nil
}

// checkVersion checks the version of the file format and returns the bytes after it.
func checkVersion(b []byte, checksumMatches bool) (rest []byte, err error) {
	version := binary.LittleEndian.Uint32(b)
	switch {
	case version == snapshotVersion:
		return b[versionSize:], nil
	case version > snapshotVersion && checksumMatches:
		return nil, ErrNewerVersion // detected only if the newer format also ends with this checksum
	default:
		return nil, ErrUnrecognized
	}
}

// decodeHeader decodes the fields between the version and the payload, and returns the rest as payload.
func decodeHeader(b []byte) (s Snapshot, payloadLength uint64, payload []byte, err error) {
	const fixedSize = schemaSize + seqSize + takenSize + lengthSize
	kindLength := int(binary.LittleEndian.Uint16(b))
	b = b[kindLengthSize:]
	if kindLength == 0 || kindLength > maxKindSize || len(b) < kindLength+fixedSize {
		return s, 0, nil, ErrTruncated
	}
	s.Kind, b = string(b[:kindLength]), b[kindLength:]
	s.Schema, b = binary.LittleEndian.Uint32(b), b[schemaSize:]
	s.Seq, b = binary.LittleEndian.Uint64(b), b[seqSize:]
	s.Taken, b = time.Unix(0, int64(binary.LittleEndian.Uint64(b))), b[takenSize:]
	payloadLength, b = binary.LittleEndian.Uint64(b), b[lengthSize:]
	return s, payloadLength, b, nil
}
