package sycamorehill.model.peer;

import sycamorehill.model.identity.ServiceName;
import sycamorehill.model.request.Fingerprint;

/**
 * To the arbiter of a service: content is no longer suspected.
 *
 * @param service the service
 * @param fingerprint the content
 */
public record SuspectCleared(ServiceName service, Fingerprint fingerprint) implements PeerMessage {

}
