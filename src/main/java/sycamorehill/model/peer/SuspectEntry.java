package sycamorehill.model.peer;

import sycamorehill.model.identity.TargetName;
import sycamorehill.model.request.Fingerprint;

/**
 * Content that a target ran when the connection to it was lost.
 *
 * @param target the target
 * @param fingerprint the fingerprint of the content
 */
public record SuspectEntry(TargetName target, Fingerprint fingerprint) {

}
