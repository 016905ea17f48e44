package front

import (
	"encoding/json"
	"net/http"

	"ladderridge.example/core/route"
	"ladderridge.example/core/table"
	"ladderridge.example/daemon/wire"
)

// models lists the models that the organisation may use: auto, each model and
// each of its versions.
func (f *Front) models(j *job) *refusal {
	list := wire.ModelList{Object: "list", Data: []wire.Model{model(route.Auto)}}
	last := ""
	for _, c := range j.tenant.Candidates {
		if c.Status == table.Withdrawn {
			continue
		}
		if c.Version.Ref.Model != last {
			last = c.Version.Ref.Model
			list.Data = append(list.Data, model(last))
		}
		list.Data = append(list.Data, model(c.Version.Ref.String()))
	}
	j.w.Header().Set("Content-Type", "application/json")
	j.answered = true
	if err := json.NewEncoder(j.w).Encode(list); err == nil {
		j.recordAnswer(http.StatusOK)
	}
	return nil
}

func model(id string) wire.Model {
	return wire.Model{ID: id, Object: "model", OwnedBy: "ladderridge"}
}
