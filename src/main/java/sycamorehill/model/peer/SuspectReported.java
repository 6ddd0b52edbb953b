package sycamorehill.model.peer;

import sycamorehill.model.identity.ServiceName;

/**
 * To the arbiter of a service: a target broke off while it ran content.
 *
 * @param service the service
 * @param suspect the content and the target
 */
public record SuspectReported(ServiceName service, SuspectEntry suspect) implements PeerMessage {

}
