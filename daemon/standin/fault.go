package standin

import (
	"encoding/json"
	"net/http"
)

// decodeFault reads a fault from an admin call and sets it.
func decodeFault[F any](w http.ResponseWriter, r *http.Request, set func(F)) {
	var f F
	if err := json.NewDecoder(r.Body).Decode(&f); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	set(f)
	w.WriteHeader(http.StatusNoContent)
}
