package place

// PrefillTokensPerMs returns the estimated prompt speed of a prefill replica of a service, or 0 if nothing is known of the
// service yet.
func (b *Balancer) PrefillTokensPerMs(service string) float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	if s := b.services[service]; s != nil {
		return s.tokensPerMs
	}
	return 0
}
