package routing

import "math"

const (
	// minQuotaChange is the smallest change of an admission quota that is published.
	minQuotaChange = 0.02

	// unlimitedQuota is published where proxies ignore admission quotas.
	unlimitedQuota = 1e6
)

// publishAdmission writes the admission quotas and the retry policy that changed, for all connected proxies.
func (b *Balancer) publishAdmission(round *publishRound) {
	policyChanged := b.admission.retryPolicy != b.admission.publishedRetryPolicy
	b.admission.publishedRetryPolicy = b.admission.retryPolicy
	for class, quota := range b.admission.quotas {
		quotaChanged := math.Abs(quota-b.admission.publishedQuotas[class]) > minQuotaChange
		if !quotaChanged && !policyChanged {
			continue
		}
		b.admission.publishedQuotas[class] = quota
		if !b.deployment.AdmissionControl {
			quota = unlimitedQuota
		}
		round.writer.SetAdmission(AllTables, 1<<class, quota, b.admission.retryPolicy)
		for i := range b.proxies {
			if b.proxies[i].connected {
				round.batch.addEntries(i, 1)
			}
		}
	}
}
