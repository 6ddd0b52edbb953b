package sycamorehill.model.request;

/**
 * Hash over service, method and body of a request, free of identifiers, so that the same
 * request sent again has the same.
 *
 * @param value lower-case hex
 */
public record Fingerprint(String value) {

}
