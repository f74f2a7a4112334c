package daemon

import (
	"encoding/json"
	"net/http"

	"kumquatreel.example/kumquatreel/internal/base/fault"
	"kumquatreel.example/kumquatreel/internal/limit/slots"
	"kumquatreel.example/kumquatreel/internal/wire/inner"
	"kumquatreel.example/kumquatreel/internal/wire/netio"
)

// innerHandler serves the protocol between VMs.
func (d *Daemon) innerHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+inner.PathExchange, func(w http.ResponseWriter, r *http.Request) {
		if ex, ok := read[inner.Exchange](w, r); ok {
			netio.WriteJSON(w, http.StatusOK, d.mesh.Exchange(ex))
		}
	})
	mux.HandleFunc("GET "+inner.PathDocuments, func(w http.ResponseWriter, _ *http.Request) {
		netio.WriteJSON(w, http.StatusOK, d.mesh.Documents())
	})
	mux.HandleFunc("POST "+inner.PathAdmit, func(w http.ResponseWriter, r *http.Request) {
		if request, ok := read[inner.Admit](w, r); ok {
			netio.WriteJSON(w, http.StatusOK, d.mesh.GrantTokens(request))
		}
	})
	mux.HandleFunc("POST "+inner.PathCancel, func(w http.ResponseWriter, r *http.Request) {
		if c, ok := read[inner.Cancel](w, r); ok {
			d.owner.Cancel(c.IDs)
			w.WriteHeader(http.StatusOK)
		}
	})
	mux.HandleFunc("POST "+inner.PathTicketed, func(w http.ResponseWriter, r *http.Request) {
		if t, ok := read[inner.Ticketed](w, r); ok {
			netio.WriteJSON(w, http.StatusOK, d.entry.ServeForwarded(r.Context(), t))
		}
	})
	mux.HandleFunc("POST "+inner.PathParts, d.parts)
	return mux
}

// read decodes a message from another VM and responds with a failure when it is malformed.
func read[T any](w http.ResponseWriter, r *http.Request) (T, bool) {
	var v T
	if err := netio.ReadJSON(r.Body, inner.MaxMessageBytes, &v); err != nil {
		netio.WriteJSON(w, http.StatusBadRequest, inner.Failure{
			Code: fault.CodeBadRequest, Outcome: fault.OutcomeNotSent, Message: "the message is malformed",
		})
		return v, false
	}
	return v, true
}

// parts runs a batch as owner and streams the replies. It cancels the batch when the sender disconnects.
func (d *Daemon) parts(w http.ResponseWriter, r *http.Request) {
	batch, ok := read[inner.Parts](w, r)
	if !ok {
		return
	}
	replies := make(chan inner.PartReply, len(batch.Parts))
	d.owner.Submit(&batch, func(reply inner.PartReply) { replies <- reply })
	w.Header().Set("Content-Type", "application/x-ndjson")
	w.WriteHeader(http.StatusOK)
	controller := http.NewResponseController(w)
	enc := json.NewEncoder(w)
	for range batch.Parts {
		var reply inner.PartReply
		select {
		case reply = <-replies:
		case <-r.Context().Done():
			d.cancelBatch(&batch)
			return
		}
		if err := enc.Encode(reply); err != nil {
			d.cancelBatch(&batch)
			return
		}
		if len(replies) == 0 {
			_ = controller.Flush()
		}
	}
}

// cancelBatch cancels a batch whose sender has disconnected, unless the request is not idempotent.
func (d *Daemon) cancelBatch(batch *inner.Parts) {
	if !batch.Idempotent {
		return
	}
	ids := make([]slots.ID, len(batch.Parts))
	for i, p := range batch.Parts {
		ids[i] = p.ID
	}
	d.owner.Cancel(ids)
}
