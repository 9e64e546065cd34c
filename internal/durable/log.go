package durable

import (
	"encoding/binary"
	"errors"
	"fmt"
	"io/fs"
	"path/filepath"

	"github.com/cespare/xxhash/v2"
)

// A log holds the records appended since the snapshot of its sequence number: a header, and the records one after another,
// each with its length and a checksum that covers its place. A log is valid only with that snapshot, because a snapshot need
// not equal what the log before it led to.
const (
	logMagic  = "umbrlog1"
	logSuffix = ".log"

	logHeaderSize    = len(logMagic) + seqSize + checksumSize
	recordLengthSize = 4
	recordHeaderSize = recordLengthSize + checksumSize
)

// ErrLogFailed is returned by Append after a write failed: the content of the log is unknown until the next Save.
var ErrLogFailed = errors.New("an earlier write to the log failed")

// ErrNoSnapshot is returned by Append before the first Save of a Store.
var ErrNoSnapshot = errors.New("no snapshot was saved yet")

func (o *Options) logPath(seq uint64) string {
	return filepath.Join(o.Dir, fmt.Sprintf("%s-%016x%s", o.Kind, seq, logSuffix))
}

// Append adds records to the log of the last saved snapshot. When it returns nil all of them are durable. After an error
// some of them may be, and every call fails with ErrLogFailed until Save succeeds. Before the first Save it fails with
// ErrNoSnapshot.
func (s *Store) Append(records ...[]byte) (err error) {
	switch {
	case s.snapshotSeq == 0:
		return fmt.Errorf("%s: %w", s.opt.Dir, ErrNoSnapshot)
	case s.logFailed:
		return fmt.Errorf("%s: %w", s.opt.Dir, ErrLogFailed)
	}
	defer func() { s.logFailed = err != nil }()
	size, err := s.encodedSize(records)
	if err != nil {
		return err
	}
	isNew := s.log == nil
	if isNew {
		if s.log, err = s.opt.FS.Create(s.opt.logPath(s.snapshotSeq)); err != nil {
			return err
		}
	}
	if _, err := s.log.Write(s.encodeRecords(records, size, isNew)); err != nil {
		return err
	}
	if err := s.log.Sync(); err != nil {
		return err
	}
	if isNew {
		if err := s.opt.FS.SyncDir(s.opt.Dir); err != nil {
			return err
		}
	}
	s.recordCount += uint64(len(records))
	s.logSize += size
	return nil
}

// encodedSize returns how many bytes records take in the log, without its header.
func (s *Store) encodedSize(records [][]byte) (int, error) {
	size := 0
	for _, r := range records {
		if len(r) > s.opt.MaxPayload {
			return 0, fmt.Errorf("%s: a record of %d bytes, over the %d allowed", s.opt.Dir, len(r), s.opt.MaxPayload)
		}
		size += recordHeaderSize + len(r)
	}
	return size, nil
}

// encodeRecords returns records as they stand in the log, after the log's header if it begins with them.
func (s *Store) encodeRecords(records [][]byte, size int, withHeader bool) []byte {
	b := make([]byte, 0, logHeaderSize+size)
	if withHeader {
		b = append(b, logMagic...)
		b = binary.LittleEndian.AppendUint64(b, s.snapshotSeq)
		b = binary.LittleEndian.AppendUint64(b, xxhash.Sum64(b))
	}
	for i, r := range records {
		b = binary.LittleEndian.AppendUint32(b, uint32(len(r)))
		b = binary.LittleEndian.AppendUint64(b, recordChecksum(s.snapshotSeq, s.recordCount+uint64(i), r))
		b = append(b, r...)
	}
	return b
}

// LogSize returns the size of the records appended since the last snapshot, in bytes: what Replay has to read.
func (s *Store) LogSize() int { return s.logSize }

// recordChecksum is the checksum of a record at its place: the log's sequence number and the record's index in it.
func recordChecksum(seq, index uint64, record []byte) uint64 {
	var place [8 + 8 + recordLengthSize]byte
	binary.LittleEndian.PutUint64(place[:], seq)
	binary.LittleEndian.PutUint64(place[8:], index)
	binary.LittleEndian.PutUint32(place[16:], uint32(len(record)))
	digest := xxhash.New()
	_, _ = digest.Write(place[:]) // a digest's Write never fails
	_, _ = digest.Write(record)
	return digest.Sum64()
}

// decodeLog calls apply with each intact record of a log, in order. It returns nil if the log ends with an intact record.
func decodeLog(seq uint64, content []byte, apply func(record []byte) error) error {
	if !validLogHeader(seq, content) {
		return ErrUnrecognized
	}
	rest := content[logHeaderSize:]
	for i := uint64(0); len(rest) > 0; i++ {
		if len(rest) < recordHeaderSize {
			return ErrTruncated
		}
		length := uint64(binary.LittleEndian.Uint32(rest))
		if length > uint64(len(rest)-recordHeaderSize) {
			return ErrTruncated
		}
		record := rest[recordHeaderSize : recordHeaderSize+length : recordHeaderSize+length]
		if binary.LittleEndian.Uint64(rest[recordLengthSize:]) != recordChecksum(seq, i, record) {
			return ErrChecksum
		}
		if err := apply(record); err != nil {
			return err
		}
		rest = rest[recordHeaderSize+length:]
	}
	return nil
}

// validLogHeader reports whether content begins with the header of the log of a sequence number.
func validLogHeader(seq uint64, content []byte) bool {
	const checksumAt = logHeaderSize - checksumSize
	return len(content) >= logHeaderSize &&
		string(content[:len(logMagic)]) == logMagic &&
		binary.LittleEndian.Uint64(content[len(logMagic):]) == seq &&
		binary.LittleEndian.Uint64(content[checksumAt:]) == xxhash.Sum64(content[:checksumAt])
}

// Replay calls apply, in order, with the records that were appended to the snapshot of a sequence number, as Load returned
// it. It stops at the first damaged record, which after a crash is one whose Append had not returned, or when apply fails,
// and returns the reason; the records applied until then are valid. It returns nil if there is no log or it was read to its
// end.
func Replay(o Options, seq uint64, apply func(record []byte) error) *SkippedFile {
	o.setDefaults()
	path := o.logPath(seq)
	content, err := o.FS.ReadFile(path)
	if errors.Is(err, fs.ErrNotExist) {
		return nil
	}
	if err == nil {
		err = decodeLog(seq, content, apply)
	}
	if err != nil {
		return &SkippedFile{File: path, Reason: err}
	}
	return nil
}
