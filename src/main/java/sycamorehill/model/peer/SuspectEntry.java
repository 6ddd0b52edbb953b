package sycamorehill.model.peer;

import sycamorehill.model.identity.TargetName;
import sycamorehill.model.request.Fingerprint;

/**
 * Content that a target ran when it broke off.
 *
 * @param target the target
 * @param fingerprint the content
 */
public record SuspectEntry(TargetName target, Fingerprint fingerprint) {

}
