package main

import (
	"bytes"
	"context"
	"net/http"
	"net/url"
	"strings"

	"cactustray/ticket"
)

// servicePlaceholder stands for the service's name in the address that tickets
// are published to.
const servicePlaceholder = "{service}"

// PublishError reports a ticket that the platform did not take.
type PublishError struct {
	URL string
	// Status is the platform's answer, or empty when there was none.
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

// publish writes a ticket to the platform as the operator. It fails with
// *PublishError.
func publish(ctx context.Context, address, token string, held ticket.Held) error {
	address = strings.ReplaceAll(address, servicePlaceholder, url.PathEscape(held.Ticket.Service))
	request, err := http.NewRequestWithContext(ctx, http.MethodPut, address, bytes.NewReader(held.Document))
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
