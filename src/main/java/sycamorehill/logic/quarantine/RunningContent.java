package sycamorehill.logic.quarantine;

import java.time.Instant;

import sycamorehill.model.identity.RequestIdentifier;
import sycamorehill.model.request.Fingerprint;
import sycamorehill.model.target.ServingTarget;

/**
 * An attempt under way.
 *
 * @param request the request
 * @param fingerprint its content
 * @param target where it runs
 * @param startedAt when it was sent
 * @param isolated whether the arbiter gave it the target
 */
record RunningContent(RequestIdentifier request, Fingerprint fingerprint, ServingTarget target, Instant startedAt,
		boolean isolated) {

}
