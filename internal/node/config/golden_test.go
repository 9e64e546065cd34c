package config

import (
	"encoding/json"
	"fmt"
	"reflect"
	"regexp"
	"sort"
	"strings"
	"testing"

	"umberbank/internal/node/nodetest"
)

const fullTarget = `{"uid":"s-1","endpoint":"127.0.0.1:9","az":"a","pod_group":3,"state":"DRAINING","capacity_hint":2.5,"boot_ms":1500.5}`

// fullConfig has every key of a configuration, each with a value other than its default.
const fullConfig = `{"name":"n3","listen":"127.0.0.1:3000","discovery":"127.0.0.1:8500","control":"127.0.0.1:3001","seed":"8c1f30d27a5be964",
 "limits":{"cores":1.5,"memory_mb":192,"sockets":512},"peers":["127.0.0.1:1"],
 "known":{"rev":41,"all":true,"targets":[` + fullTarget + `]},
 "registry":{"endpoints":["127.0.0.1:7400"],"cache":"/cache"},
 "state":{"dir":"/state","every_ms":250,"max_age_ms":1500},
 "agreed":{"endpoints":["127.0.0.1:7401"],"tier":"front","zone":"a","region":"r","sends_to":"web","capacity":2,"ttl_ms":900,"by_agent":true,"keep":"/keep"},
 "settings":{"balancers":3,"blend":{"whole":0.3,"worst-class":0.7},
  "lanes":[{"deadline-ms":400,"effect":"idempotency_key","key-scope":"zone","late-share":0.25,"name":"read","stream":true,"target-ms":100,"window-ms":9000,"worth":4}],
  "limits":{"cancelling":true,"conn-idle-ms":30000,"connect-timeout-ms":200,"max-attempts":5,"max-retry-after-ms":1900,"second-copies":true,"retry-after":true},
  "registry-mode":"on_request","rules":{"ask-within-ms":70,"cold-from":0.4,"fall-ms":80,"fall-multiple":3,"warm-after-ms":900},
  "me":2,"tick-ms":5,"tier":1,"weights":"live"}}`

// goType matches the parts of an error of encoding/json that name Go types.
var goType = regexp.MustCompile(`(?:Go struct field \w*\.|Go value)|(?: of type .*$)`)

// settingError matches an error of balancer.Settings.Validate, whose wording belongs to that package.
var settingError = regexp.MustCompile(`^\w+: setting .*$`)

// errorText returns the text of a configuration error without Go types and without the wording of
// balancer.Settings.Validate.
func errorText(err error) string {
	return settingError.ReplaceAllString(goType.ReplaceAllString(err.Error(), ""), "a setting is missing or out of range")
}

// The golden file records the effect at startup and on a reload when each key of a configuration in
// turn is left out, and when it has a value of another type. If a key is read under another name, its
// lines show that it changes nothing.
func TestGoldenKeys(t *testing.T) {
	t.Parallel()
	complete, err := Parse([]byte(fullConfig))
	if err != nil {
		t.Fatal(err)
	}
	var b strings.Builder
	try := func(what string, file any) {
		text, err := json.Marshal(file)
		if err != nil {
			t.Fatal(err)
		}
		cfg, err := Parse(text)
		start, reload := "changes nothing", "taken"
		if err != nil {
			start, reload = errorText(err), "-"
		} else {
			if err := complete.CheckReload(cfg); err != nil {
				reload = err.Error()
			}
			if cfg.document, cfg.text = complete.document, complete.text; !reflect.DeepEqual(cfg, complete) {
				start = "changes the configuration"
			}
		}
		fmt.Fprintf(&b, "%s: start: %s; reload: %s\n", what, start, reload)
	}
	decode := func() (file map[string]any) {
		if err := json.Unmarshal([]byte(fullConfig), &file); err != nil {
			t.Fatal(err)
		}
		return file
	}
	try("whole", decode())
	for _, path := range keyPaths("", decode()) {
		file := decode()
		object, key := locate(file, path)
		delete(object, key)
		try(path+" left out", file)
		file = decode()
		object, key = locate(file, path)
		if _, isString := object[key].(string); isString {
			object[key] = 7
		} else {
			object[key] = "text"
		}
		try(path+" of another kind", file)
	}
	nodetest.Golden(t, "keys.golden", b.String())
}

// keyPaths returns the sorted paths of all keys of an object, prefixed with path. A list contributes
// the keys of its first entry.
func keyPaths(path string, object map[string]any) (paths []string) {
	keys := make([]string, 0, len(object))
	for key := range object {
		keys = append(keys, key)
	}
	sort.Strings(keys)
	for _, key := range keys {
		keyPath := strings.TrimPrefix(path+"."+key, ".")
		paths = append(paths, keyPath)
		paths = append(paths, keyPaths(keyPath, asObject(object[key]))...)
	}
	return paths
}

// asObject returns a value, or its first entry if it is a list, as an object. It returns nil if that is
// not an object.
func asObject(v any) map[string]any {
	if list, isList := v.([]any); isList && len(list) > 0 {
		v = list[0]
	}
	object, _ := v.(map[string]any)
	return object
}

// locate returns the object that contains the last key of a path, and that key.
func locate(file map[string]any, path string) (object map[string]any, key string) {
	keys := strings.Split(path, ".")
	for _, key := range keys[:len(keys)-1] {
		file = asObject(file[key])
	}
	return file, keys[len(keys)-1]
}

// The golden file has the errors for invalid values in a configuration.
func TestGoldenErrors(t *testing.T) {
	t.Parallel()
	var b strings.Builder
	for _, replace := range [][2]string{
		{`"127.0.0.1:3000"`, `"here"`}, {`"127.0.0.1:8500"`, `"there"`}, {`"127.0.0.1:7400"`, `"x"`}, {`"127.0.0.1:7401"`, `"y"`},
		{`"tier":"front"`, `"tier":""`}, {`"by_agent":true`, `"by_agent":false`}, {`"by_agent":true`, `"by_agent":false,"tier":""`}, {`"capacity":2,`, `"capacity":-2,`}, {`"ttl_ms":900`, `"ttl_ms":-1`},
		{"8c1f30d27a5be964", "seed"}, {`"cores":1.5`, `"cores":-1`}, {`"memory_mb":192`, `"memory_mb":-1`}, {`"sockets":512`, `"sockets":-1`},
		{"DRAINING", "SLEEPING"}, {`"every_ms":250`, `"every_ms":0`}, {`"max_age_ms":1500`, `"max_age_ms":1e300`}, {`"settings":`, `"s":`},
		{`"deadline-ms":400`, `"deadline-ms":0`}, {`"target-ms":100`, `"target-ms":0`}, {`{"name"`, `name`},
	} {
		_, err := Parse([]byte(strings.Replace(fullConfig, replace[0], replace[1], 1)))
		result := "none"
		if err != nil {
			result = errorText(err)
		}
		fmt.Fprintf(&b, "%s -> %s\n%s\n", replace[0], replace[1], result)
	}
	nodetest.Golden(t, "faults.golden", b.String())
}
