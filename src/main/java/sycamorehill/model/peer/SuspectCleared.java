package sycamorehill.model.peer;

import sycamorehill.model.identity.ServiceName;
import sycamorehill.model.request.Fingerprint;

/**
 * Tells the arbiter of a service that content is no longer suspected.
 *
 * @param service the service
 * @param fingerprint the fingerprint of the content
 */
public record SuspectCleared(ServiceName service, Fingerprint fingerprint) implements PeerMessage {

}
