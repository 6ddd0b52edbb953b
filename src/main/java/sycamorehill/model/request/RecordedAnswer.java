package sycamorehill.model.request;

/**
 * A complete answer that is small enough to be recorded and replayed.
 *
 * @param status the HTTP status code
 * @param contentType the media type
 * @param body the body as text
 */
public record RecordedAnswer(int status, String contentType, String body) {

}
