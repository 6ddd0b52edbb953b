package sycamorehill.model.peer;

import sycamorehill.model.identity.ServiceName;
import sycamorehill.model.identity.TargetName;
import sycamorehill.model.request.Fingerprint;

/**
 * Tells the arbiter of a service that a suspect no longer runs on its target.
 *
 * @param service the service
 * @param target the target
 * @param fingerprint the fingerprint of the content
 */
public record IsolationReleased(ServiceName service, TargetName target,
		Fingerprint fingerprint) implements PeerMessage {

}
