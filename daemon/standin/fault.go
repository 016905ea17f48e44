package standin

import (
	"encoding/json"
	"net/http"
)

// decodeFault decodes the JSON body of an admin call and passes it to set.
func decodeFault[F any](w http.ResponseWriter, r *http.Request, set func(F)) {
	var f F
	if err := json.NewDecoder(r.Body).Decode(&f); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	set(f)
	w.WriteHeader(http.StatusNoContent)
}
