package sycamorehill.model.peer;

import java.util.Optional;

import sycamorehill.model.identity.RequestIdentifier;
import sycamorehill.model.identity.ServiceName;
import sycamorehill.model.identity.TargetName;
import sycamorehill.model.request.Fingerprint;

/**
 * From the arbiter of a service: where a suspected request may run.
 *
 * @param request the request
 * @param service the service
 * @param fingerprint its content
 * @param target the target, empty if none is free of suspects now
 */
public record IsolationAnswered(RequestIdentifier request, ServiceName service, Fingerprint fingerprint,
		Optional<TargetName> target) implements PeerMessage {

}
