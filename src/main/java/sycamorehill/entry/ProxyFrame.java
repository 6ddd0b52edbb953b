package sycamorehill.entry;

import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;

import sycamorehill.model.identity.TargetName;
import sycamorehill.model.serving.AttemptEnd;
import sycamorehill.model.serving.HomeRegions;
import sycamorehill.model.serving.ProxiedRequest;

/**
 * Frame between the origin of a request and the node through which it is sent. The origin
 * sends {@link Request}, {@link Body} until the body is complete, and {@link Confirmed}
 * where required. The other node answers {@link Accepted}, the answer as {@link Head} and
 * {@link Body} or {@link Event} frames, {@link Stalled} while no event comes, and
 * {@link End}.
 */
sealed interface ProxyFrame {

	/**
	 * A request, of which the body follows.
	 *
	 * @param request what the origin has decided
	 * @param method HTTP method
	 * @param uri path and query
	 * @param headers the caller's headers that may be forwarded
	 * @param resumeAfter identifier of the last event that the caller received
	 * @param weightsVersion version of the weights with which the answer started
	 * @param bodyBytes size of the body
	 */
	record Request(ProxiedRequest request, String method, String uri, List<Header> headers,
			Optional<String> resumeAfter, Optional<String> weightsVersion, int bodyBytes) implements ProxyFrame {

		Request withSharedPromptParts(List<String> parts) {
			return new Request(this.request.withSharedPromptParts(parts), this.method, this.uri, this.headers,
					this.resumeAfter, this.weightsVersion, this.bodyBytes);
		}

		Request withStallReports(boolean accepted) {
			return new Request(this.request.withStallReports(accepted), this.method, this.uri, this.headers,
					this.resumeAfter, this.weightsVersion, this.bodyBytes);
		}

		Request withHomes(HomeRegions homes) {
			return new Request(this.request.withHomes(homes), this.method, this.uri, this.headers, this.resumeAfter,
					this.weightsVersion, this.bodyBytes);
		}

	}

	/**
	 * HTTP header.
	 *
	 * @param name its name
	 * @param value its value
	 */
	record Header(String name, String value) {
	}

	/**
	 * Part of the body of a request or an answer.
	 *
	 * @param bytes the bytes
	 */
	record Body(byte[] bytes) implements ProxyFrame {
	}

	/** The request was received completely. */
	record Accepted() implements ProxyFrame {
	}

	/** The request may be sent to a target. */
	record Confirmed() implements ProxyFrame {
	}

	/**
	 * Head of a target's answer.
	 *
	 * @param status HTTP status
	 * @param reason reason phrase
	 * @param headers all headers
	 * @param streaming whether events follow rather than a body
	 */
	record Head(int status, String reason, List<Header> headers, boolean streaming) implements ProxyFrame {
	}

	/**
	 * Complete event of a stream.
	 *
	 * @param number its number
	 * @param bytes its bytes
	 */
	record Event(OptionalLong number, byte[] bytes) implements ProxyFrame {
	}

	/**
	 * The target has stopped sending. The attempt goes on.
	 *
	 * @param target the target of the attempt
	 */
	record Stalled(TargetName target) implements ProxyFrame {
	}

	/**
	 * The attempt has ended.
	 *
	 * @param target the target of the attempt; empty if none was selected
	 * @param end how it ended
	 */
	record End(Optional<TargetName> target, AttemptEnd end) implements ProxyFrame {
	}

}
