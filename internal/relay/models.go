package relay

import (
	"context"
	"encoding/json"
	"maps"
	"slices"
)

type modelList struct {
	Object string      `json:"object"`
	Data   []modelItem `json:"data"`
}

type modelItem struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	Created int64  `json:"created"`
	OwnedBy string `json:"owned_by"`
}

// models serves the list of models that the caller's plan includes.
func (s *Server) models(_ context.Context, c *call) error {
	if err := c.authenticate(); err != nil {
		return err
	}
	plan, err := c.plan()
	if err != nil {
		return err
	}
	list := modelList{Object: "list", Data: []modelItem{}}
	for _, name := range slices.Sorted(maps.Keys(c.snapshot.Document.Models)) {
		if slices.Contains(plan.Models, name) {
			list.Data = append(list.Data, modelItem{ID: name, Object: "model", OwnedBy: "fulmartide"})
		}
	}
	c.w.Header().Set("Content-Type", "application/json")
	return json.NewEncoder(c.w).Encode(list)
}
