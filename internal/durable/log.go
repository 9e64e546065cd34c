package durable

import (
	"encoding/binary"
	"errors"
	"fmt"
	"io/fs"
	"path/filepath"

	"github.com/cespare/xxhash/v2"
)

// A log holds what has happened since the snapshot of its number: a head, and records one after another, each with its
// length and a checksum that covers its place. It is of use with that snapshot alone, which need not be what the log
// before it led to.
const (
	logMagic  = "umbrlog1"
	logSuffix = ".log"
	logHead   = len(logMagic) + 8 + 8 // number, sum
	frameHead = 4 + 8                 // length, sum
)

// ErrLogFailed says that a write to the log failed earlier: what it holds is not known, and only Save goes on from there.
var ErrLogFailed = errors.New("an earlier write to the log failed")

func (o *Options) logPath(seq uint64) string {
	return filepath.Join(o.Dir, fmt.Sprintf("%s-%016x%s", o.Kind, seq, logSuffix))
}

// Append adds records, which all last when it returns nil. After an error some of them may: the caller saves a snapshot
// before it appends again. Before the first Save there is nothing to append to.
func (s *Store) Append(records ...[]byte) (err error) {
	switch {
	case s.base == 0:
		return fmt.Errorf("%s: no snapshot was saved yet", s.opt.Dir)
	case s.failed:
		return fmt.Errorf("%s: %w", s.opt.Dir, ErrLogFailed)
	}
	defer func() { s.failed = err != nil }()
	size := 0
	for _, r := range records {
		if len(r) > s.opt.MaxPayload {
			return fmt.Errorf("%s: a record of %d bytes, over the %d allowed", s.opt.Dir, len(r), s.opt.MaxPayload)
		}
		size += frameHead + len(r)
	}
	text := make([]byte, 0, logHead+size)
	fresh := s.log == nil
	if fresh {
		if s.log, err = s.opt.FS.Create(s.opt.logPath(s.base)); err != nil {
			return err
		}
		text = append(text, logMagic...)
		text = binary.LittleEndian.AppendUint64(text, s.base)
		text = binary.LittleEndian.AppendUint64(text, xxhash.Sum64(text))
	}
	for i, r := range records {
		text = binary.LittleEndian.AppendUint32(text, uint32(len(r)))
		text = binary.LittleEndian.AppendUint64(text, frameSum(s.base, s.records+uint64(i), r))
		text = append(text, r...)
	}
	if _, err := s.log.Write(text); err != nil {
		return err
	}
	if err := s.log.Sync(); err != nil {
		return err
	}
	if fresh {
		if err := s.opt.FS.SyncDir(s.opt.Dir); err != nil {
			return err
		}
	}
	s.records += uint64(len(records))
	s.logSize += size
	return nil
}

// LogSize is how many bytes of records were appended since the last snapshot, which Load has to go through.
func (s *Store) LogSize() int { return s.logSize }

// frameSum is the checksum of a record at its place.
func frameSum(seq, index uint64, r []byte) uint64 {
	var place [20]byte
	binary.LittleEndian.PutUint64(place[:], seq)
	binary.LittleEndian.PutUint64(place[8:], index)
	binary.LittleEndian.PutUint32(place[16:], uint32(len(r)))
	d := xxhash.New()
	d.Write(place[:]) // neither ever fails
	d.Write(r)
	return d.Sum64()
}

// decodeLog gives apply the records of the log of a number, as far as it is whole, and says why there are no more; nil:
// it ends with a whole record.
func decodeLog(seq uint64, text []byte, apply func(record []byte) error) error {
	if len(text) < logHead || string(text[:len(logMagic)]) != logMagic || binary.LittleEndian.Uint64(text[len(logMagic):]) != seq ||
		binary.LittleEndian.Uint64(text[logHead-8:]) != xxhash.Sum64(text[:logHead-8]) {
		return errNoState
	}
	rest := text[logHead:]
	for i := uint64(0); len(rest) > 0; i++ {
		if len(rest) < frameHead {
			return errShort
		}
		n := uint64(binary.LittleEndian.Uint32(rest))
		if n > uint64(len(rest)-frameHead) {
			return errShort
		}
		r := rest[frameHead : frameHead+n : frameHead+n]
		if binary.LittleEndian.Uint64(rest[4:]) != frameSum(seq, i, r) {
			return errSum
		}
		if err := apply(r); err != nil {
			return err
		}
		rest = rest[frameHead+n:]
	}
	return nil
}

// Replay gives to apply, in order, the records that were appended to the snapshot of a number, as Load has returned it. It
// ends where one is damaged, which after a crash is one whose Append had not returned, or where apply fails, and
// says so; what came before stands.
func Replay(o Options, seq uint64, apply func(record []byte) error) *SkippedFile {
	o.complete()
	text, err := o.FS.ReadFile(o.logPath(seq))
	if errors.Is(err, fs.ErrNotExist) {
		return nil
	}
	if err == nil {
		err = decodeLog(seq, text, apply)
	}
	if err != nil {
		return &SkippedFile{o.logPath(seq), err}
	}
	return nil
}
