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

// fullConfig has every key that a configuration may have, none with its default.
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

// goType matches what an error of encoding/json says of Go types.
var goType = regexp.MustCompile(`(?:Go struct field \w*\.|Go value)|(?: of type .*$)`)

// settingFault matches an error of balancer.Settings.Validate, whose wording is that package's.
var settingFault = regexp.MustCompile(`^\w+: setting .*$`)

// faultOf returns an error of a configuration without Go types and without the wording of balancer.Settings.Validate.
func faultOf(err error) string {
	return settingFault.ReplaceAllString(goType.ReplaceAllString(err.Error(), ""), "a setting is missing or out of range")
}

// Each key of a configuration in turn is left out, and then has a value of another kind: what that does at the start and at
// a reload. A key that is read under another name shows as one that changes nothing.
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
			start, reload = faultOf(err), "-"
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
		if _, is := object[key].(string); is {
			object[key] = 7
		} else {
			object[key] = "text"
		}
		try(path+" of another kind", file)
	}
	nodetest.Golden(t, "keys.golden", b.String())
}

// keyPaths returns the paths of all keys of an object, in order; of a list, those of its first entry.
func keyPaths(path string, object map[string]any) (paths []string) {
	keys := make([]string, 0, len(object))
	for key := range object {
		keys = append(keys, key)
	}
	sort.Strings(keys)
	for _, key := range keys {
		at := strings.TrimPrefix(path+"."+key, ".")
		paths = append(paths, at)
		paths = append(paths, keyPaths(at, inner(object[key]))...)
	}
	return paths
}

// inner is the object that a value is, or that is its first entry; nil: none.
func inner(v any) map[string]any {
	if list, is := v.([]any); is && len(list) > 0 {
		v = list[0]
	}
	object, _ := v.(map[string]any)
	return object
}

// locate finds the object with the last key of a path.
func locate(file map[string]any, path string) (object map[string]any, key string) {
	keys := strings.Split(path, ".")
	for _, key := range keys[:len(keys)-1] {
		file = inner(file[key])
	}
	return file, keys[len(keys)-1]
}

// Bad values of single keys, and the error that each gives.
func TestGoldenFaults(t *testing.T) {
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
		fault := "none"
		if err != nil {
			fault = faultOf(err)
		}
		fmt.Fprintf(&b, "%s -> %s\n%s\n", replace[0], replace[1], fault)
	}
	nodetest.Golden(t, "faults.golden", b.String())
}
