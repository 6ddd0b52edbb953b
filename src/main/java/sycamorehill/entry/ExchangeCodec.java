package sycamorehill.entry;

import java.time.Duration;
import java.util.Optional;

import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;

/**
 * Translates the heads of requests and answers between HTTP and the types of the node.
 */
public interface ExchangeCodec {

	/**
	 * Parses the head of a caller's request.
	 * @param request the head of the request
	 * @return the parsed head
	 */
	CallerRequestHead readCallerRequest(HttpRequest request);

	/**
	 * Returns the headers of a caller's request that may leave this node, without the
	 * caller's API key.
	 * @param request the caller's request
	 * @return the headers, without those that frame the body
	 */
	HttpHeaders forwardableHeaders(HttpRequest request);

	/**
	 * Creates the headers of a request to a target.
	 * @param request the caller's request
	 * @param forwarding the information that the node adds for the target
	 * @return the headers, without those that frame the body
	 */
	HttpHeaders targetHeaders(HttpRequest request, ForwardingMetadata forwarding);

	/**
	 * Parses the head of a target's answer.
	 * @param response the head of the answer
	 * @return the parsed head
	 */
	TargetResponseHead readTargetResponse(HttpResponse response);

	/**
	 * Reads the identifier of the request that a target's answer names.
	 * @param response the head of the answer
	 * @return the identifier; empty if it names none
	 */
	Optional<String> readAnswerIdentifier(HttpResponse response);

	/**
	 * Creates the headers with which a target's answer is returned to the caller.
	 * @param response the target's answer
	 * @return the headers, without those that frame the body
	 */
	HttpHeaders callerHeaders(HttpResponse response);

	/**
	 * Creates the headers of an answer that the node produces itself.
	 * @param identifier the caller's identifier of the attempt
	 * @param retryAfter the time after which the caller may retry
	 * @return the headers, without those that frame the body
	 */
	HttpHeaders localAnswerHeaders(String identifier, Optional<Duration> retryAfter);

	/**
	 * Returns the path of the readiness check of the load balancer.
	 * @return the path
	 */
	String readinessPath();

	/**
	 * Returns the translation of the question which process of a target answers.
	 * @return the translation
	 */
	IncarnationCodec incarnations();

}
