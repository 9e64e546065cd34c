package main

import (
	"encoding/json"
	"fmt"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"umberbank/internal/coordination/rollout"
	"umberbank/internal/registry/client"
	"umberbank/internal/registry/cluster"
	"umberbank/internal/registry/replica"
	"umberbank/internal/registry/state"
)

// startReplica starts a registry of one replica in this process and returns its address. The replica is closed when the test ends.
func startReplica(t *testing.T) (address string) {
	t.Helper()
	var addresses [2]string
	for i := range addresses {
		var err error
		if addresses[i], err = cluster.FreeAddress(); err != nil {
			t.Fatal(err)
		}
	}
	path := write(t, "r.toml", fmt.Sprintf("id = \"r\"\ndir = %q\nraft = %q\naddress = %q\n[[peer]]\nid = \"r\"\nraft = %q\naddress = %q\n",
		filepath.Join(t.TempDir(), "r"), addresses[0], addresses[1], addresses[0], addresses[1]))
	cfg, err := replica.ReadConfig(path)
	if err != nil {
		t.Fatal(err)
	}
	r, err := replica.New(cfg)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		if err := r.Close(); err != nil {
			t.Error(err)
		}
	})
	return r.Addr()
}

// registryWriter writes to a registry and fails the test if a write is rejected.
type registryWriter struct {
	client *client.Client
}

func newRegistryWriter(t *testing.T, address string) registryWriter {
	t.Helper()
	c, err := client.New(client.Options{Endpoints: []string{address}})
	if err != nil {
		t.Fatal(err)
	}
	return registryWriter{c}
}

// write sends a write and returns the token of its result.
func (w registryWriter) write(t *testing.T, op state.Op) (token int64) {
	t.Helper()
	results, err := w.client.Write(t.Context(), op)
	if err != nil {
		t.Fatal(err)
	}
	if results[0].Code != "" {
		t.Fatalf("the registry rejected a write: %+v", results[0])
	}
	return results[0].Token
}

// register registers a node and returns its token.
func (w registryWriter) register(t *testing.T, uid, zone string, startTimeMS float64) (token int64) {
	t.Helper()
	return w.write(t, state.Op{Kind: state.OpRegister, Instance: &state.Instance{
		UID:         uid,
		Endpoint:    "x:1",
		State:       state.Serving,
		Role:        state.RoleNode,
		Tier:        "front",
		Zone:        zone,
		Capacity:    1,
		StartTimeMS: startTimeMS,
	}})
}

// The status shows nodes that are out of sync, nodes that are syncing, and a lost zone.
func TestFleetConfigStatus(t *testing.T) {
	address := startReplica(t)
	w := newRegistryWriter(t, address)
	tokens := map[string]int64{}
	for i, uid := range []string{"n0", "n1", "n2", "n3", "n4"} {
		tokens[uid] = w.register(t, uid, string("aaabb"[i]), 1)
		w.write(t, state.Op{Kind: state.OpReport, UID: uid, Token: tokens[uid]})
	}
	expired := time.Date(2026, 12, 2, 4, 0, 0, 0, time.UTC).UnixMilli()
	for _, uid := range []string{"n2", "n3", "n4"} {
		w.write(t, state.Op{Kind: state.OpExpire, UID: uid, Token: tokens[uid], WallTimeMS: expired})
	}
	w.register(t, "n4", "b", 2)
	version := w.write(t, state.Op{Kind: state.OpPropose, Value: json.RawMessage(`{}`), Stages: []float64{1}})
	w.write(t, state.Op{Kind: state.OpAcknowledge, UID: "n0", Token: tokens["n0"], Number: version, Hash: state.ContentHash([]byte(`{}`))})

	code, out, errs := call("fleet", "config", "status", "--endpoints", address)
	for _, want := range []string{
		"waits: zone a: 1 of 3 nodes have acknowledged version 1, 2 are needed",
		"zone b is LOST since 2026-12-02T04:00:00Z: its quorum is passed over",
		"3 of 5 nodes are out of sync",
		"0, out of touch since 2026-12-02T04:00:00Z",
		"0, catching up",
	} {
		if code != exitOK || !strings.Contains(out, want) {
			t.Errorf("exit code %d, want %q:\n%s%s", code, want, out, errs)
		}
	}

	code, out, errs = call("fleet", "config", "status", "--json", "--endpoints", address)
	var s rollout.State
	if err := json.Unmarshal([]byte(out), &s); code != exitOK || err != nil {
		t.Fatalf("exit code %d, %v: %s%s", code, err, out, errs)
	}
	if s.Nodes["n2"].OutOfSyncSince.UnixMS != expired || s.LostZones["b"].UnixMS != expired || !s.Nodes["n4"].Syncing {
		t.Errorf("want n2 and zone b out of sync and lost since the lease expired, and n4 syncing: %s", out)
	}
}

// Runs a sequence of commands and checks the exit code and a part of the output of each. Invalid input is reported on one line
// with file and key, before anything changes. Where a command or flag has an alias, which is its name in earlier releases, the
// test uses the alias.
func TestFleetBadInput(t *testing.T) {
	address := startReplica(t)
	limits := write(t, "limits.toml", "[[tier]]\ntier = \"web\"\nwhole = 0.5\n")
	plan := write(t, "plan.toml", "name = \"p\"\nversion = \"v2\"\n[[stage]]\ntier = \"web\"\nshare = 1.0\n")
	units := write(t, "unit.json", `[{"uid":"s1","endpoint":"x:1","tier":"web","state":"SERVING","capacity_hint":1,"version":"v1"},
		{"uid":"s2","endpoint":"x:2","tier":"web","state":"SERVING","capacity_hint":1,"version":"v1"}]`)
	file := func(text string) string { return write(t, "x.toml", text) }
	type step struct {
		args []string
		code int
		want string
	}
	check := func(s step, maxLines int) {
		t.Helper()
		code, out, errs := call(append([]string{"fleet", s.args[0], "--at", address}, s.args[1:]...)...)
		if output := out + errs; code != s.code || !strings.Contains(output, s.want) || maxLines > 0 && strings.Count(output, "\n") > maxLines {
			t.Errorf("%v: exit code %d, %q, want %d with %q", s.args, code, output, s.code, s.want)
		}
	}
	for _, s := range []step{
		{[]string{"status"}, exitOK, "no limits are set"},
		{[]string{"release", plan}, exitError, "no limits are set"},
		{[]string{"drain", "s1"}, exitFailed, "s1: there is no such unit"},
		{[]string{"budget", file("whole = 1\n")}, exitError, "x.toml:1: whole: unknown key"},
		{[]string{"budget", file("[[tier]]\ntier = \"web\"\nwhole = 2.0\n")}, exitError, "x.toml: tier[0].whole: 2 is no share"},
		{[]string{"budget", limits}, exitOK, "limits of 1 tiers"},
		{[]string{"release", plan}, exitError, "plan.toml: stage[0].tier: there is no tier \"web\""},
		{[]string{"drain", "s1"}, exitFailed, "there is no such unit"},
	} {
		check(s, 1)
	}
	if code, _, errs := call("registry", "put", "--at", address, units); code != exitOK {
		t.Fatal(errs)
	}
	for _, s := range []step{
		{[]string{"drain", "s1", "s2"}, exitFailed, "s1: drains\ns2: over-budget: s2: tier web has 1 of 2 out and 1 more would be, where 1 may be"},
		{[]string{"status"}, exitOK, "out: s1"},
		{[]string{"release", file("name = \"p\"\nversion = \"v2\"\nneeds = { web = 1.5 }\n[[stage]]\ntier = \"web\"\nshare = 1.0\n")}, exitError,
			"needs: tier web has a capacity of 2, 1 of it out, and up to 1 may be out at once: 1 would be left where the load needs 1.5"},
		{[]string{"release", file("name = \"p\"\nversion = \"v2\"\n[[stage]]\nunits = [\"s1\", \"s9\"]\n")}, exitError, "stage[0].units: there is no unit \"s9\""},
		{[]string{"release", file("name = \"p\"\nversion = \"v2\"\nbake = \"long\"\n[[stage]]\nunits = [\"s1\"]\n")}, exitError, "bake: \"long\" is no time"},
		{[]string{"halt", "p"}, exitError, "there is no release \"p\""},
		{[]string{"release", plan, "--check"}, exitOK, "2 units in 1 stages"},
		{[]string{"release", plan}, exitOK, "2 units in 1 stages"},
		{[]string{"release", plan}, exitError, "release p is active"},
		{[]string{"halt", "p"}, exitOK, "p: halted: no further change begins"},
		{[]string{"resume", "p"}, exitOK, "goes on"},
		{[]string{"resume", "p"}, exitError, "p is not halted"},
		{[]string{"back", "p"}, exitOK, "p-back: 0 units"},
		{[]string{"undrain", "s1"}, exitOK, "serves"},
		{[]string{"gone", "s1", "s9"}, exitFailed, "s1: counts no more\ns9: not-found"},
	} {
		check(s, 0)
	}
}
