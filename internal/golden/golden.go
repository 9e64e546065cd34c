// Package golden compares the JSON encoding of types with files under testdata, for tests of stored data and of data
// exchanged between processes. A golden file written by an earlier build must decode without unknown keys and encode
// to the same bytes.
package golden

import (
	"bytes"
	"encoding/json"
	"os"
	"reflect"
	"strings"
	"testing"
)

// Read returns the bytes of a golden file, without the newline at its end.
func Read(t testing.TB, path string) []byte {
	t.Helper()
	text, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	return bytes.TrimSuffix(text, []byte("\n"))
}

// Lines returns the lines of a golden file.
func Lines(t testing.TB, path string) [][]byte {
	t.Helper()
	return bytes.Split(Read(t, path), []byte("\n"))
}

// Decode decodes JSON into a T and fails the test on a key that T does not have.
func Decode[T any](t testing.TB, text []byte) T {
	t.Helper()
	var v T
	decoder := json.NewDecoder(bytes.NewReader(text))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&v); err != nil {
		t.Fatalf("%v in %s", err, text)
	}
	return v
}

// Encodes fails the test unless the JSON encoding of v equals want.
func Encodes(t testing.TB, v any, want []byte) {
	t.Helper()
	got, err := json.Marshal(v)
	if err != nil {
		t.Fatal(err)
	}
	if !bytes.Equal(got, want) {
		t.Errorf("the encoding has changed\n got %s\nwant %s", got, want)
	}
}

// RoundTrip decodes a golden file into a T and fails the test unless T encodes to the same bytes.
func RoundTrip[T any](t testing.TB, path string) T {
	t.Helper()
	text := Read(t, path)
	v := Decode[T](t, text)
	Encodes(t, v, text)
	return v
}

// RoundTripFull is like RoundTrip, but also fails the test if an exported field of T or of a nested struct is not set
// in the file or has no explicit name in its json tag.
func RoundTripFull[T any](t testing.TB, path string) T {
	t.Helper()
	v := RoundTrip[T](t, path)
	requireFull(t, reflect.TypeFor[T]().Name(), reflect.ValueOf(v))
	return v
}

// requireFull reports the fields of a decoded value that are zero or have no explicit json name.
func requireFull(t testing.TB, name string, v reflect.Value) {
	t.Helper()
	switch v.Kind() {
	case reflect.Pointer:
		if !v.IsNil() {
			requireFull(t, name, v.Elem())
		}
	case reflect.Struct:
		for i := range v.NumField() {
			field := v.Type().Field(i)
			if !field.IsExported() {
				continue
			}
			fieldName := name + "." + field.Name
			if tag, _, _ := strings.Cut(field.Tag.Get("json"), ","); tag == "" {
				t.Errorf("%s has no explicit json name", fieldName)
			}
			if v.Field(i).IsZero() {
				t.Errorf("%s is not set in the golden file", fieldName)
			}
			requireFull(t, fieldName, v.Field(i))
		}
	case reflect.Slice:
		if v.Type().Elem().Kind() == reflect.Uint8 {
			return
		}
		for i := range v.Len() {
			requireFull(t, name, v.Index(i))
		}
	case reflect.Map:
		for _, key := range v.MapKeys() {
			requireFull(t, name, v.MapIndex(key))
		}
	}
}
