package sycamorehill.logic.quarantine;

import java.time.Instant;

import sycamorehill.model.identity.RequestIdentifier;
import sycamorehill.model.identity.ServiceName;
import sycamorehill.model.identity.TargetName;
import sycamorehill.model.request.Fingerprint;

/**
 * Reservation of a target for one suspect, so that no other suspect runs there.
 *
 * @param target the target
 * @param service the service that the target serves
 * @param fingerprint the fingerprint of the suspect content
 * @param request the request that runs the content
 * @param until the monotonic time at which the slot expires
 */
record IsolationSlot(TargetName target, ServiceName service, Fingerprint fingerprint, RequestIdentifier request,
		Instant until) {

}
