package report

import (
	"bytes"
	"encoding/json"
	"strings"
	"testing"

	"umberbank/internal/lab"
	"umberbank/internal/lab/scenario"
	"umberbank/labs"
)

// A result is encoded, read again and written as a page. Every chart has labels on its axes, and the faults are shown.
func TestPage(t *testing.T) {
	text, err := labs.Files.ReadFile("flap.toml")
	if err != nil {
		t.Fatal(err)
	}
	s, err := scenario.Parse("flap.toml", text, nil)
	if err != nil {
		t.Fatal(err)
	}
	run, err := lab.Run(t.Context(), s, lab.Options{Seed: 1, Virtual: true})
	if err != nil {
		t.Fatal(err)
	}
	run.FailedExpectations = []string{"a <wish>"}
	encoded, err := json.Marshal(run)
	if err != nil {
		t.Fatal(err)
	}
	read, err := Read(bytes.NewReader(encoded))
	if err != nil {
		t.Fatal(err)
	}
	var page bytes.Buffer
	if err := Write(&page, read); err != nil {
		t.Fatal(err)
	}
	for _, want := range []string{"time (s)", ">share<", ">ms<", ">1/s<", ">requests<", ">vanish<", "search refused", "a &lt;wish&gt;", "fullest"} {
		if !strings.Contains(page.String(), want) {
			t.Errorf("the page has no %q", want)
		}
	}
	if n := strings.Count(page.String(), "<svg"); n != len(charts(read)) || n < 6 {
		t.Errorf("%d pictures", n)
	}
	if strings.Contains(page.String(), "http://") && strings.Contains(page.String(), "src=") {
		t.Error("the page loads external content")
	}
}

func TestNoResult(t *testing.T) {
	for _, text := range []string{"", "{}", "[1]", `{"scenario":"x"}`, "nonsense"} {
		if _, err := Read(strings.NewReader(text)); err == nil || strings.Contains(err.Error(), "\n") {
			t.Errorf("%q: %v", text, err)
		}
	}
}

// Unusual results can be drawn as well: a run of one second, no request served, and faults that begin or end after the run.
func TestUnusualResults(t *testing.T) {
	r := &lab.Result{Scenario: "x", ClassNames: []string{"a"}, ZoneNames: []string{"z", "y"}, Classes: map[string]*lab.ClassResult{"a": {}},
		Series: []lab.Second{{Requests: []int{0}}}, Faults: []lab.FaultSpan{{Kind: "slow", FromSeconds: 0, ToSeconds: 99}, {Kind: "late", FromSeconds: 50, ToSeconds: 60}}}
	if err := Write(&bytes.Buffer{}, r); err != nil {
		t.Error(err)
	}
}
