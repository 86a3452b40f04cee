package emulator

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"

	"github.com/gorilla/mux"

	"github.com/weldline/weldline/api/engine"
)

const maxRequestBytes = 8 << 20

func (e *Engine) handler() http.Handler {
	routes := mux.NewRouter()
	routes.HandleFunc("/v1/report", e.serveReport).Methods(http.MethodGet)
	routes.HandleFunc("/v1/orders", e.serveOrder).Methods(http.MethodPost)
	routes.HandleFunc("/v1/completions", e.serveInference).Methods(http.MethodPost)
	routes.HandleFunc("/v1/chat/completions", e.serveInference).Methods(http.MethodPost)
	routes.HandleFunc("/v1/requests/{id}/stream", e.serveResume).Methods(http.MethodGet)
	routes.HandleFunc("/v1/requests/{id}/cancel", e.serveCancel).Methods(http.MethodPost)
	routes.HandleFunc("/emulator/restart", func(http.ResponseWriter, *http.Request) { e.Restart() }).Methods(http.MethodPost)
	return routes
}

func (e *Engine) serveReport(writer http.ResponseWriter, _ *http.Request) {
	_ = json.NewEncoder(writer).Encode(e.report())
}

func (e *Engine) serveOrder(writer http.ResponseWriter, request *http.Request) {
	var order engine.Order
	if err := json.NewDecoder(io.LimitReader(request.Body, maxRequestBytes)).Decode(&order); err != nil {
		http.Error(writer, err.Error(), http.StatusBadRequest)
		return
	}
	if e.faults.draw(func(faults Faults) float64 { return faults.LostOrder }) {
		panic(http.ErrAbortHandler) // Closes the connection without a response.
	}
	_ = json.NewEncoder(writer).Encode(e.applyOrder(order))
}

func writeNotRun(writer http.ResponseWriter, status int, reason string) {
	writer.Header().Set(engine.HeaderOutcome, engine.OutcomeNotRun)
	http.Error(writer, reason, status)
}

func (e *Engine) serveInference(writer http.ResponseWriter, request *http.Request) {
	id := request.Header.Get(engine.HeaderRequestID)
	responseID := id
	if e.faults.draw(func(faults Faults) float64 { return faults.CrossedAnswer }) {
		responseID = "crossed-" + id
	}
	writer.Header().Set(engine.HeaderRequestID, responseID)
	var body inferenceRequest
	if err := json.NewDecoder(io.LimitReader(request.Body, maxRequestBytes)).Decode(&body); err != nil {
		writeNotRun(writer, http.StatusBadRequest, err.Error())
		return
	}
	priority, _ := strconv.Atoi(request.Header.Get(engine.HeaderPriority))
	name := request.Header.Get(engine.HeaderReplica)
	output := e.start(request.Context(), name, id, request.Header.Get(engine.HeaderAdapter), priority, body)
	if output == nil {
		writeNotRun(writer, http.StatusConflict, "the replica does not take requests")
		return
	}
	answer := &completionWriter{engine: e, writer: writer, request: request, id: id, body: body, chat: len(body.Messages) > 0}
	if body.Stream {
		answer.writeStream(output, 0)
		return
	}
	answer.writeComplete(output)
}

func (e *Engine) serveResume(writer http.ResponseWriter, request *http.Request) {
	id := mux.Vars(request)["id"]
	from, err := strconv.Atoi(request.URL.Query().Get("from"))
	e.mutex.Lock()
	output := e.streams[id]
	e.mutex.Unlock()
	if output == nil || err != nil || from < 0 {
		http.Error(writer, "no such stream", http.StatusNotFound)
		return
	}
	writer.Header().Set(engine.HeaderRequestID, id)
	answer := &completionWriter{engine: e, writer: writer, request: request, id: id, chat: output.chat}
	answer.writeStream(output, from)
}

func (e *Engine) serveCancel(writer http.ResponseWriter, request *http.Request) {
	e.mutex.Lock()
	output := e.streams[mux.Vars(request)["id"]]
	e.mutex.Unlock()
	if output == nil {
		http.Error(writer, "no such request", http.StatusNotFound)
		return
	}
	output.cancel()
}

// completionWriter writes one response in the format of the OpenAI API.
type completionWriter struct {
	engine  *Engine
	writer  http.ResponseWriter
	request *http.Request
	id      string
	body    inferenceRequest
	chat    bool
}

type completionChoice struct {
	Index        int                `json:"index"`
	Text         string             `json:"text,omitempty"`
	Message      *completionMessage `json:"message,omitempty"`
	Delta        *completionMessage `json:"delta,omitempty"`
	FinishReason *string            `json:"finish_reason"`
}

type completionMessage struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content"`
}

type completionResponse struct {
	ID      string             `json:"id"`
	Object  string             `json:"object"`
	Created int64              `json:"created"`
	Model   string             `json:"model"`
	Choices []completionChoice `json:"choices"`
}

// writeComplete waits for the whole output and sends it as one response.
func (a *completionWriter) writeComplete(output *stream) {
	output.addReaders(1)
	defer output.addReaders(-1)
	text, position := "", 0
	for {
		events, ended, changed := output.after(position)
		for _, event := range events {
			text += event
		}
		position += len(events)
		if ended {
			break
		}
		select {
		case <-changed:
		case <-a.request.Context().Done():
			return
		}
	}
	lost := a.engine.faults.draw(func(faults Faults) float64 { return faults.LostAnswer })
	if lost || position < a.body.tokens() {
		panic(http.ErrAbortHandler)
	}
	stop := "stop"
	choice := completionChoice{FinishReason: &stop}
	object := "text_completion"
	if a.chat {
		object = "chat.completion"
		choice.Message = &completionMessage{Role: "assistant", Content: text}
	} else {
		choice.Text = text
	}
	a.writer.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(a.writer).Encode(completionResponse{
		ID: a.id, Object: object, Model: a.body.Model, Choices: []completionChoice{choice},
	})
}

// writeStream sends events from a position on. Event n of a stream is its n-th token; the last event
// is the end marker.
func (a *completionWriter) writeStream(output *stream, from int) {
	output.addReaders(1)
	defer output.addReaders(-1)
	a.writer.Header().Set("Content-Type", "text/event-stream")
	breakAt := -1
	if a.engine.faults.draw(func(faults Faults) float64 { return faults.BrokenStream }) {
		breakAt = from + 2
	}
	position := from
	for {
		events, ended, changed := output.after(position)
		for _, event := range events {
			if position == breakAt {
				panic(http.ErrAbortHandler)
			}
			a.writeEvent(event)
			position++
		}
		if ended {
			break
		}
		select {
		case <-changed:
		case <-a.request.Context().Done():
			return
		}
	}
	if a.engine.isTruncated(output, position) {
		panic(http.ErrAbortHandler)
	}
	_, _ = io.WriteString(a.writer, "data: [DONE]\n\n")
}

// isTruncated reports whether the generation ended before its last token.
func (e *Engine) isTruncated(output *stream, position int) bool {
	output.mutex.Lock()
	defer output.mutex.Unlock()
	return output.truncated || position < len(output.events)
}

func (a *completionWriter) writeEvent(token string) {
	body := completionResponse{ID: a.id, Object: "text_completion", Model: a.body.Model}
	choice := completionChoice{Text: token}
	if a.chat {
		body.Object = "chat.completion.chunk"
		choice = completionChoice{Delta: &completionMessage{Content: token}}
	}
	body.Choices = []completionChoice{choice}
	encoded, err := json.Marshal(body)
	if err != nil {
		return
	}
	_, _ = io.WriteString(a.writer, "data: "+string(encoded)+"\n\n")
	_ = http.NewResponseController(a.writer).Flush()
}
