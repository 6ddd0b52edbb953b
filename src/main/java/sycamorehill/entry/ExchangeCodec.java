package sycamorehill.entry;

import java.time.Duration;
import java.util.Optional;

import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;

/**
 * Translates heads of requests and answers.
 */
public interface ExchangeCodec {

	/**
	 * Reads the head of a caller's request.
	 * @param request the head
	 * @return what it says
	 */
	CallerRequestHead readCallerRequest(HttpRequest request);

	/**
	 * Makes the headers of a request to a target.
	 * @param request the caller's request
	 * @param forwarding what the target is told besides
	 * @return the headers, without those that frame the body
	 */
	HttpHeaders targetHeaders(HttpRequest request, ForwardingMetadata forwarding);

	/**
	 * Reads the head of a target's answer.
	 * @param response the head
	 * @return what it says
	 */
	TargetResponseHead readTargetResponse(HttpResponse response);

	/**
	 * Makes the headers of a target's answer that go on to the caller.
	 * @param response the target's answer
	 * @return the headers, without those that frame the body
	 */
	HttpHeaders callerHeaders(HttpResponse response);

	/**
	 * Makes the headers of an answer of our own.
	 * @param identifier the caller's identifier of the attempt
	 * @param retryAfter when to come back
	 * @return the headers, without those that frame the body
	 */
	HttpHeaders localAnswerHeaders(String identifier, Optional<Duration> retryAfter);

	/**
	 * The path at which the balancer asks whether the node is ready.
	 * @return the path
	 */
	String readinessPath();

}
