// Package httpclient has what the HTTP clients of all programs share.
package httpclient

import "net/http"

// ReturnRedirect is meant as http.Client's CheckRedirect. It makes the client return a redirect as the response. By default
// net/http sends the request, with the body of a write, to the address that the response names.
func ReturnRedirect(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }
