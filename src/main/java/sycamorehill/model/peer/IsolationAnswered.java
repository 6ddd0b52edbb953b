package sycamorehill.model.peer;

import java.util.Optional;

import sycamorehill.model.identity.RequestIdentifier;
import sycamorehill.model.identity.ServiceName;
import sycamorehill.model.identity.TargetName;
import sycamorehill.model.request.Fingerprint;

/**
 * Tells the sender of {@link IsolationAsked} on which target a suspected request may run.
 * The arbiter of the service sends it.
 *
 * @param request the request
 * @param service the service of the request
 * @param fingerprint the fingerprint of its content
 * @param target the target, empty if the arbiter assigns none now, for example because no
 * target is free of suspects
 */
public record IsolationAnswered(RequestIdentifier request, ServiceName service, Fingerprint fingerprint,
		Optional<TargetName> target) implements PeerMessage {

}
