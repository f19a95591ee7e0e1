// Package endpoint resolves the service that an endpoint and a body address, and
// builds the options of the request for it. Online calls and batch items share
// it.
package endpoint

import (
	"net/http"
	"strings"

	"github.com/tidwall/gjson"

	"github.com/kingcupquay/kingcupquay/internal/operator/result"
	"github.com/kingcupquay/kingcupquay/internal/operator/services"
	"github.com/kingcupquay/kingcupquay/internal/serving/request"
)

// The paths of the model engine endpoints.
const (
	ChatCompletions = "/v1/chat/completions"
	Completions     = "/v1/completions"
)

const contentType = "application/json"

// ResolveEngine resolves the engine service that the model field of an OpenAI-style
// body names, and checks that the body has a prompt.
func ResolveEngine(text *services.Text, path string, body []byte) (*services.Service, *result.Error) {
	if !gjson.ValidBytes(body) || !gjson.ParseBytes(body).IsObject() {
		return nil, result.New(result.MalformedJSON, "body is not a JSON object")
	}
	model := gjson.GetBytes(body, "model")
	if model.Type != gjson.String {
		return nil, result.New(result.InvalidField, "model must be a string")
	}
	service, ok := text.ServiceForModel(model.String())
	if !ok {
		return nil, result.New(result.UnknownModel, "no model or service %q", model.String())
	}
	if failure := checkPrompt(path, body); failure != nil {
		return nil, failure
	}
	return service, nil
}

// checkPrompt checks the type of the prompt or messages field.
func checkPrompt(path string, body []byte) *result.Error {
	if path == Completions {
		if prompt := gjson.GetBytes(body, "prompt"); prompt.Type != gjson.String && !prompt.IsArray() {
			return result.New(result.InvalidField, "prompt must be a string or an array")
		}
		return nil
	}
	if !gjson.GetBytes(body, "messages").IsArray() {
		return result.New(result.InvalidField, "messages must be an array")
	}
	return nil
}

// EngineOptions returns the options of a request to an engine service.
func EngineOptions(s *services.Service, path string, body []byte) request.Options {
	return request.Options{
		Service: s.Name, Model: s.Model, Method: http.MethodPost, Path: path, ContentType: contentType, Body: body,
		Urgency: urgencyOf(s), Weight: s.Weight, Idempotent: true, Engine: true,
	}
}

// PlainOptions returns the options of a request to a plain service.
func PlainOptions(s *services.Service, method, path string, body []byte) request.Options {
	return request.Options{
		Service: s.Name, Method: method, Path: path, ContentType: contentType, Body: body,
		Urgency: urgencyOf(s), Weight: s.Weight, Idempotent: s.Idempotent,
	}
}

// ResolvePlain returns the plain service of an endpoint /services/NAME/PATH and the
// path on its backend servers.
func ResolvePlain(text *services.Text, endpoint string) (*services.Service, string, bool) {
	rest, ok := strings.CutPrefix(endpoint, "/services/")
	name, path, found := strings.Cut(rest, "/")
	if !ok || !found {
		return nil, "", false
	}
	service, ok := text.Service(name)
	if !ok || service.Kind != services.PlainKind {
		return nil, "", false
	}
	return service, "/" + path, true
}

func urgencyOf(s *services.Service) request.Urgency {
	if s.Urgency == "batch" {
		return request.Batch
	}
	return request.Online
}
