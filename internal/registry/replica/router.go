package replica

import "net/http"

// route is a path of the API: the only method that it takes, and its handler.
type route struct {
	method string
	handle http.HandlerFunc
}

// router calls the handler of a path. In contrast to http.ServeMux it answers every other request with an error: it redirects no
// path that is not clean, and does not pass a HEAD to the handler of a GET, which for a watch does not end.
type router map[string]route

// get adds a path that takes a GET.
func (r router) get(path string, handle http.HandlerFunc) {
	r[path] = route{method: http.MethodGet, handle: handle}
}

// post adds a path that takes a POST.
func (r router) post(path string, handle http.HandlerFunc) {
	r[path] = route{method: http.MethodPost, handle: handle}
}

// ServeHTTP implements http.Handler.
func (r router) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	route, known := r[req.URL.EscapedPath()]
	switch {
	case !known:
		http.NotFound(w, req)
	case req.Method != route.method:
		w.Header().Set("Allow", route.method)
		http.Error(w, http.StatusText(http.StatusMethodNotAllowed), http.StatusMethodNotAllowed)
	default:
		route.handle(w, req)
	}
}
