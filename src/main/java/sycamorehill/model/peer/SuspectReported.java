package sycamorehill.model.peer;

import sycamorehill.model.identity.ServiceName;

/**
 * Tells the arbiter of a service that the connection to a target was lost while the
 * target ran content.
 *
 * @param service the service
 * @param suspect the content and the target
 */
public record SuspectReported(ServiceName service, SuspectEntry suspect) implements PeerMessage {

}
