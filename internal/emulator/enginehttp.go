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
		panic(http.ErrAbortHandler) // Closes the connection without an answer.
	}
	_ = json.NewEncoder(writer).Encode(e.order(order))
}

func notRun(writer http.ResponseWriter, status int, reason string) {
	writer.Header().Set(engine.HeaderOutcome, engine.OutcomeNotRun)
	http.Error(writer, reason, status)
}

func (e *Engine) serveInference(writer http.ResponseWriter, request *http.Request) {
	id := request.Header.Get(engine.HeaderRequestID)
	echoed := id
	if e.faults.draw(func(faults Faults) float64 { return faults.CrossedAnswer }) {
		echoed = "crossed-" + id
	}
	writer.Header().Set(engine.HeaderRequestID, echoed)
	var body inferenceRequest
	if err := json.NewDecoder(io.LimitReader(request.Body, maxRequestBytes)).Decode(&body); err != nil {
		notRun(writer, http.StatusBadRequest, err.Error())
		return
	}
	priority, _ := strconv.Atoi(request.Header.Get(engine.HeaderPriority))
	name := request.Header.Get(engine.HeaderReplica)
	started := e.start(request.Context(), name, id, request.Header.Get(engine.HeaderAdapter), priority, body)
	if started == nil {
		notRun(writer, http.StatusConflict, "the replica does not take requests")
		return
	}
	answer := &answerWriter{engine: e, writer: writer, request: request, id: id, body: body, chat: len(body.Messages) > 0}
	if body.Stream {
		answer.stream(started, 0)
		return
	}
	answer.plain(started)
}

func (e *Engine) serveResume(writer http.ResponseWriter, request *http.Request) {
	id := mux.Vars(request)["id"]
	from, err := strconv.Atoi(request.URL.Query().Get("from"))
	e.mutex.Lock()
	held := e.streams[id]
	e.mutex.Unlock()
	if held == nil || err != nil || from < 0 {
		http.Error(writer, "no such stream", http.StatusNotFound)
		return
	}
	writer.Header().Set(engine.HeaderRequestID, id)
	answer := &answerWriter{engine: e, writer: writer, request: request, id: id, chat: held.chat}
	answer.stream(held, from)
}

func (e *Engine) serveCancel(writer http.ResponseWriter, request *http.Request) {
	e.mutex.Lock()
	held := e.streams[mux.Vars(request)["id"]]
	e.mutex.Unlock()
	if held == nil {
		http.Error(writer, "no such request", http.StatusNotFound)
		return
	}
	held.cancel()
}

// answerWriter writes one answer in the OpenAI manner.
type answerWriter struct {
	engine  *Engine
	writer  http.ResponseWriter
	request *http.Request
	id      string
	body    inferenceRequest
	chat    bool
}

type answerChoice struct {
	Index        int            `json:"index"`
	Text         string         `json:"text,omitempty"`
	Message      *answerMessage `json:"message,omitempty"`
	Delta        *answerMessage `json:"delta,omitempty"`
	FinishReason *string        `json:"finish_reason"`
}

type answerMessage struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content"`
}

type answerBody struct {
	ID      string         `json:"id"`
	Object  string         `json:"object"`
	Created int64          `json:"created"`
	Model   string         `json:"model"`
	Choices []answerChoice `json:"choices"`
}

// plain waits for the whole answer and sends it.
func (a *answerWriter) plain(output *stream) {
	output.follow(1)
	defer output.follow(-1)
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
	choice := answerChoice{FinishReason: &stop}
	object := "text_completion"
	if a.chat {
		object = "chat.completion"
		choice.Message = &answerMessage{Role: "assistant", Content: text}
	} else {
		choice.Text = text
	}
	a.writer.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(a.writer).Encode(answerBody{
		ID: a.id, Object: object, Model: a.body.Model, Choices: []answerChoice{choice},
	})
}

// stream sends events from a position on. Event number n of a stream is its
// n-th token; the last event is the end mark.
func (a *answerWriter) stream(output *stream, from int) {
	output.follow(1)
	defer output.follow(-1)
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
	if a.engine.isCut(output, position) {
		panic(http.ErrAbortHandler)
	}
	_, _ = io.WriteString(a.writer, "data: [DONE]\n\n")
}

// isCut reports whether the generation was ended before its last token.
func (e *Engine) isCut(output *stream, position int) bool {
	output.mutex.Lock()
	defer output.mutex.Unlock()
	return output.cut || position < len(output.events)
}

func (a *answerWriter) writeEvent(token string) {
	body := answerBody{ID: a.id, Object: "text_completion", Model: a.body.Model}
	choice := answerChoice{Text: token}
	if a.chat {
		body.Object = "chat.completion.chunk"
		choice = answerChoice{Delta: &answerMessage{Content: token}}
	}
	body.Choices = []answerChoice{choice}
	encoded, err := json.Marshal(body)
	if err != nil {
		return
	}
	_, _ = io.WriteString(a.writer, "data: "+string(encoded)+"\n\n")
	_ = http.NewResponseController(a.writer).Flush()
}
