package sycamorehill.logic.quarantine;

import java.time.Instant;

import sycamorehill.model.identity.RequestIdentifier;
import sycamorehill.model.identity.ServiceName;
import sycamorehill.model.identity.TargetName;
import sycamorehill.model.request.Fingerprint;

/**
 * A target kept free of other suspects for one suspect.
 *
 * @param target the target
 * @param service what it answers
 * @param fingerprint the content
 * @param request the request
 * @param until when the place lapses
 */
record IsolationSlot(TargetName target, ServiceName service, Fingerprint fingerprint, RequestIdentifier request,
		Instant until) {

}
