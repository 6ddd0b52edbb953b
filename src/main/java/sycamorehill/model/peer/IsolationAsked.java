package sycamorehill.model.peer;

import java.util.List;

import sycamorehill.model.identity.RequestIdentifier;
import sycamorehill.model.identity.ServiceName;
import sycamorehill.model.identity.TargetName;
import sycamorehill.model.request.Fingerprint;

/**
 * Asks the arbiter of a service for a target on which no other suspect runs, to run a
 * suspected request there.
 *
 * @param request the request
 * @param service the service of the request
 * @param fingerprint the fingerprint of its content
 * @param excluded the targets that have already failed the request
 * @param died the targets that crashed while running its content, as far as the sender
 * knows
 */
public record IsolationAsked(RequestIdentifier request, ServiceName service, Fingerprint fingerprint,
		List<TargetName> excluded, List<TargetName> died) implements PeerMessage {

	/**
	 * Copies the lists.
	 */
	public IsolationAsked {
		excluded = List.copyOf(excluded);
		died = List.copyOf(died);
	}

}
