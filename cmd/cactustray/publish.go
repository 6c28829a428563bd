package main

import (
	"bytes"
	"context"
	"net/http"
	"net/url"
	"strings"

	"cactustray/ticket"
)

// servicePlaceholder is replaced by the service's name in the URL that tickets are
// published to.
const servicePlaceholder = "{service}"

// PublishError reports that a ticket could not be written to the platform.
type PublishError struct {
	URL string
	// Status is the HTTP status of the platform's answer, empty if there was none.
	Status string
	Cause  error
}

func (e *PublishError) Error() string {
	if e.Cause != nil {
		return "publish: " + e.Cause.Error()
	}
	return "publish to " + e.URL + ": the platform answered " + e.Status
}

// Unwrap returns the cause.
func (e *PublishError) Unwrap() error { return e.Cause }

// publish writes a ticket to the platform with the operator's token. It fails with
// *PublishError.
func publish(ctx context.Context, address, token string, record ticket.Record) error {
	address = strings.ReplaceAll(address, servicePlaceholder, url.PathEscape(record.Ticket.Service))
	request, err := http.NewRequestWithContext(ctx, http.MethodPut, address, bytes.NewReader(record.Document))
	if err != nil {
		return &PublishError{URL: address, Cause: err}
	}
	if token != "" {
		request.Header.Set("Authorization", "Bearer "+token)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return &PublishError{URL: address, Cause: err}
	}
	defer response.Body.Close()
	if response.StatusCode/100 != 2 {
		return &PublishError{URL: address, Status: response.Status}
	}
	return nil
}
