package sycamorehill.model.request;

/**
 * A whole answer small enough to be recorded and given again.
 *
 * @param status HTTP status
 * @param contentType media type
 * @param body the body as text
 */
public record RecordedAnswer(int status, String contentType, String body) {

}
