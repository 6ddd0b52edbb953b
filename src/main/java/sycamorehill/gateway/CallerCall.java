package sycamorehill.gateway;

import java.util.Optional;

import sycamorehill.model.request.RequestDescription;

/**
 * A caller's request, read whole.
 *
 * @param description what the decisions need
 * @param prompt the prompt, empty for a plain service
 * @param stream whether the answer is to be streamed
 * @param target path and query behind a plain service's name
 * @param contentType media type of the body
 * @param idempotencyKey the caller's key
 * @param body the body of a plain service's call
 */
record CallerCall(RequestDescription description, String prompt, boolean stream, String target,
		Optional<String> contentType, Optional<String> idempotencyKey, String body) {

}
