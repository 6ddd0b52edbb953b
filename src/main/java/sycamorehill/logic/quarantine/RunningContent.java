package sycamorehill.logic.quarantine;

import java.time.Instant;

import sycamorehill.model.identity.RequestIdentifier;
import sycamorehill.model.request.Fingerprint;
import sycamorehill.model.target.ServingTarget;

/**
 * The content of a running attempt.
 *
 * @param request the request
 * @param fingerprint the fingerprint of the content
 * @param target the target that the attempt was sent to
 * @param startedAt the monotonic time at which the attempt was sent
 * @param isolated whether the attempt runs in an isolation slot
 */
record RunningContent(RequestIdentifier request, Fingerprint fingerprint, ServingTarget target, Instant startedAt,
		boolean isolated) {

}
