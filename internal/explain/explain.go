// Package explain declares the request and the response by which a VM explains where it would place a call.
package explain

import (
	"fmt"
	"net/url"
	"slices"
	"strconv"

	"github.com/fulmartide/fulmartide/internal/fault"
)

// Path is the path of the query on a VM's metrics address.
const Path = "/explain"

// Query describes a call. It names a service, or the host and path of its route.
type Query struct {
	Host, Path string
	// Service is the service, which is one of the route's if there is a route.
	Service string
	// Stage is "whole", "prefill" or "decode" to explain only that stage, empty for those that the call takes.
	Stage string
	// Prompt and Output are the prompt and most output tokens of a generation, 0 for other calls.
	Prompt, Output int64
	// Rank replaces the rank of the call if it is at least 0.
	Rank int
	// Workspace is the name of the workspace, Version the software version that the call needs; both may be empty.
	Workspace, Version string
}

// Values encodes a query as parameters.
func (q *Query) Values() url.Values {
	out := url.Values{}
	for name, text := range map[string]*string{
		"host": &q.Host, "path": &q.Path, "service": &q.Service, "stage": &q.Stage, "workspace": &q.Workspace, "version": &q.Version,
	} {
		if *text != "" {
			out.Set(name, *text)
		}
	}
	out.Set("prompt", strconv.FormatInt(q.Prompt, 10))
	out.Set("output", strconv.FormatInt(q.Output, 10))
	if q.Rank >= 0 {
		out.Set("rank", strconv.Itoa(q.Rank))
	}
	return out
}

// maxTokens bounds the token counts of a query, maxRank its rank.
const (
	maxTokens = 1 << 32
	maxRank   = 1 << 16
)

// Parse decodes parameters.
func Parse(values url.Values) (*Query, error) {
	q := &Query{
		Host: values.Get("host"), Path: values.Get("path"), Service: values.Get("service"), Stage: values.Get("stage"),
		Workspace: values.Get("workspace"), Version: values.Get("version"),
	}
	prompt, err := number(values, "prompt", 0, maxTokens)
	if err != nil {
		return nil, err
	}
	output, err := number(values, "output", 0, maxTokens)
	if err != nil {
		return nil, err
	}
	rank, err := number(values, "rank", -1, maxRank)
	if err != nil {
		return nil, err
	}
	q.Prompt, q.Output, q.Rank = prompt, output, int(rank)
	if !slices.Contains([]string{"", "whole", "prefill", "decode"}, q.Stage) {
		return nil, fault.New(fault.Malformed, "write whole, prefill or decode, or leave it out", "there is no stage "+strconv.Quote(q.Stage))
	}
	if q.Service == "" && (q.Host == "" || q.Path == "") {
		return nil, fault.New(fault.Malformed, "name the host and path of the call, or its service", "neither a route nor a service is named")
	}
	return q, nil
}

// number returns a parameter, or a default if it is missing.
func number(values url.Values, name string, missing, most int64) (int64, error) {
	text := values.Get(name)
	if text == "" {
		return missing, nil
	}
	n, err := strconv.ParseInt(text, 10, 64)
	if err != nil || n < 0 || n > most {
		return 0, fault.New(fault.Malformed, fmt.Sprintf("write a number from 0 to %d", most), name+" is not valid")
	}
	return n, nil
}

// Response says where a VM would place a call. Times are in milliseconds.
type Response struct {
	VM         string `json:"vm"`
	DataCentre string `json:"data_centre"`
	// Configuration is the version of the configuration in force, Table that of the endpoint table.
	Configuration uint64 `json:"configuration"`
	Table         uint64 `json:"table"`
	// Route is the matched route, empty if the query names only a service. Services are those of the route that get calls;
	// the one with the greatest weight is explained, unless the query names one.
	Route    string   `json:"route,omitempty"`
	Service  string   `json:"service"`
	Services []string `json:"services,omitempty"`
	// Rank is the rank of the call, Ranked whether the service's calls have different ranks.
	Rank   int  `json:"rank"`
	Ranked bool `json:"ranked"`
	// Regions are the home regions of the call, null for any.
	Regions []string `json:"regions"`
	Plan    *Plan    `json:"plan,omitempty"`
	Stages  []Stage  `json:"stages"`
}

// Plan is what the plan of a workspace allows, in tokens in the window.
type Plan struct {
	Workspace string  `json:"workspace"`
	Limited   bool    `json:"limited"`
	Cost      int64   `json:"cost"`
	Used      int64   `json:"used"`
	Allowed   float64 `json:"allowed"`
	// Admitted is whether the call would be admitted; if not, it would be after RetryAfter.
	Admitted   bool    `json:"admitted"`
	RetryAfter float64 `json:"retry_after_ms,omitempty"`
}

// Stage is where one stage of a call would be placed.
type Stage struct {
	// Stage is "whole" for calls without separate stages.
	Stage string `json:"stage"`
	// Chosen is the endpoint, empty if the call would be refused or wait, for the reason Refused, until RetryAfter.
	Chosen     string  `json:"chosen,omitempty"`
	Via        string  `json:"via,omitempty"`
	Refused    string  `json:"refused,omitempty"`
	RetryAfter float64 `json:"retry_after_ms,omitempty"`
	// Queued is set if calls that wait at this VM come before this one.
	Queued    bool       `json:"queued,omitempty"`
	Endpoints []Endpoint `json:"endpoints"`
	// Omitted is the number of endpoints beyond the bound of the response.
	Omitted int `json:"omitted,omitempty"`
}

// Endpoint is one endpoint of the stage.
type Endpoint struct {
	Name       string `json:"name"`
	DataCentre string `json:"data_centre"`
	Version    string `json:"version,omitempty"`
	Chosen     bool   `json:"chosen,omitempty"`
	// Excluded is what excludes the endpoint, for ExcludedFor if that is known. If it was compared nevertheless, because
	// there is no other one, it has a cost as well.
	Excluded    string  `json:"excluded,omitempty"`
	ExcludedFor float64 `json:"excluded_for_ms,omitempty"`
	// Cost is the predicted cost, null if the endpoint was not compared. Terms are its terms other than 0.
	Cost  *float64           `json:"cost_ms"`
	Terms map[string]float64 `json:"terms_ms,omitempty"`
	// Calls and Tokens are the known work of all VMs.
	Calls  int   `json:"calls"`
	Tokens int64 `json:"tokens"`
	// Slowness is what the endpoint said about its pace (1 = as usual, 0 = not told). Ages are those of the inputs that are
	// known: pace, outcome (of a call), load (that the endpoint reported), path_lost.
	Slowness float64            `json:"slowness,omitempty"`
	Ages     map[string]float64 `json:"ages_ms,omitempty"`
}
