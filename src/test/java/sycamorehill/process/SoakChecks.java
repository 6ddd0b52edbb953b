package sycamorehill.process;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

import sycamorehill.process.SoakLedger.Sending;

/**
 * Compares what callers got with what targets gave as their answers to sendings of the
 * same request.
 */
final class SoakChecks {

	private SoakChecks() {
	}

	/**
	 * Checks an answer when it has ended.
	 * @param answer the answer
	 * @param sendings the sendings of its request
	 * @return what is wrong; empty if nothing is
	 */
	static Optional<String> check(SoakAnswer answer, List<Sending> sendings) {
		String identifier = SoakRequest.header(answer.head(), "Attempt-Id");
		if (answer.status() == 0) {
			return Optional.empty();
		}
		if (!identifier.isEmpty() && !identifier.equals(answer.request().identifier())) {
			return Optional.of("the answer to another request");
		}
		if (!answer.isSuccess()) {
			return checkFailure(answer, sendings);
		}
		boolean streamed = answer.request().kind().isStream() && answer.status() == 200;
		return streamed ? checkStream(answer, sendings) : checkSuccess(answer, sendings);
	}

	private static Optional<String> checkFailure(SoakAnswer answer, List<Sending> sendings) {
		if (answer.status() / 100 == 1 || answer.status() / 100 == 3) {
			return Optional.of("a status that no target gives");
		}
		if (answer.signature().isEmpty()) {
			return Optional.empty();
		}
		return given(answer.signature(), sendings)
			.filter((sending) -> sending.answer().status() == answer.status() && sending.answer().whole())
			.isPresent() ? Optional.empty() : Optional.of("a failure that the target did not give");
	}

	private static Optional<Sending> given(String signature, List<Sending> sendings) {
		return sendings.stream().filter((sending) -> sending.answer().signature().equals(signature)).findFirst();
	}

	private static Optional<String> checkSuccess(SoakAnswer answer, List<Sending> sendings) {
		if (!answer.whole()) {
			return Optional.empty();
		}
		Optional<Sending> sending = given(answer.signature(), sendings);
		if (sending.isEmpty() || sending.get().answer().status() != answer.status()) {
			return Optional.of("a success that no target gave");
		}
		if (!sending.get().answer().whole() || !sending.get().answer().body().equals(answer.body())) {
			return Optional.of("a success with another body than the target's");
		}
		return Optional.empty();
	}

	private static Optional<String> checkStream(SoakAnswer answer, List<Sending> sendings) {
		if (given(answer.signature(), sendings).filter((sending) -> sending.answer().status() == 200).isEmpty()) {
			return Optional.of("a stream that no target gave");
		}
		List<String> events = events(answer);
		String source = answer.signature();
		for (int index = 0; index < events.size(); index++) {
			String event = events.get(index);
			Optional<Sending> sending = sendings.stream()
				.filter((other) -> other.answer().status() == 200 && other.answer().body().contains(event))
				.findFirst();
			if (sending.isEmpty() || !event.startsWith("id: " + (index + 1) + "\n")) {
				return Optional.of("event " + (index + 1) + " is not a target's or not in its place");
			}
			boolean joined = !sending.get().answer().signature().equals(source);
			if (joined && answer.request().kind().mayRunOnce()) {
				return Optional.of("event " + (index + 1) + " is of another run");
			}
		}
		return (answer.whole() && events.size() < answer.request().size())
				? Optional.of("the stream ends as complete after " + events.size() + " events") : Optional.empty();
	}

	// An answer that breaks off may end within an event.
	private static List<String> events(SoakAnswer answer) {
		String body = answer.body();
		List<String> events = new ArrayList<>();
		int start = 0;
		for (int end = body.indexOf("\n\n"); end >= 0; end = body.indexOf("\n\n", start)) {
			events.add(body.substring(start, end + 2));
			start = end + 2;
		}
		if (answer.whole() && start < body.length()) {
			events.add(body.substring(start));
		}
		return events;
	}

	/**
	 * Checks at the end that a request that may run once has run once at most, and not at
	 * all if its caller was promised that.
	 * @param answer what its caller got
	 * @param sendings the sendings of the request
	 * @return what is wrong; empty if nothing is
	 */
	static Optional<String> checkRuns(SoakAnswer answer, List<Sending> sendings) {
		long runs = sendings.stream().filter((sending) -> sending.answer().run()).count();
		if (!answer.request().kind().mayRunOnce()) {
			return Optional.empty();
		}
		if (runs > 1) {
			return Optional.of("run " + runs + " times");
		}
		return (runs == 1 && answer.isPromise()) ? Optional.of("run in spite of the promise") : Optional.empty();
	}

}
