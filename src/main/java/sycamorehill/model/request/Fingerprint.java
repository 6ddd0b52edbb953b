package sycamorehill.model.request;

/**
 * A hash over service, method and body of a request. It excludes identifiers, so that a
 * retry of a request has the same fingerprint.
 *
 * @param value the hash in lower-case hexadecimal digits
 */
public record Fingerprint(String value) {

}
